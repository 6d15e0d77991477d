#ifndef MEDLARMOOR_CTL_OUTCOME_HPP
#define MEDLARMOOR_CTL_OUTCOME_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace medlarmoor::ctl {

/// The exit codes of the operator command.
enum class ExitCode : int {
  Done = 0,
  /// The document or the settings have findings; nothing was written.
  Findings = 1,
  /// The command line is wrong.
  Usage = 2,
  /// Another version is there than the one that the operator saw; nothing was
  /// written.
  Conflict = 3,
  /// The platform or the entry could not be reached; nothing was written.
  Unreachable = 4,
  /// The write may have taken effect or not; look with `status`.
  Uncertain = 5,
  /// The promotion is not proven; nothing was written.
  NotProven = 6,
};

/// What a command has to say, in both forms.
struct Outcome {
  ExitCode Code_ = ExitCode::Done;
  std::string Text_;
  nlohmann::ordered_json Json_;
};

} // namespace medlarmoor::ctl

#endif // MEDLARMOOR_CTL_OUTCOME_HPP
