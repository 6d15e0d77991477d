#ifndef MEDLARMOOR_HARNESS_REQUEST_RECORD_HPP
#define MEDLARMOOR_HARNESS_REQUEST_RECORD_HPP

#include <medlarmoor/core/time.hpp>

#include <string>
#include <vector>

namespace medlarmoor::harness {

/// How one call of a request ended, as its caller saw it.
enum class CallOutcome : unsigned char {
  Done,
  /// It ran, and the answer is no longer there.
  DoneBefore,
  NotRun,
  Unknown,
  /// No whole answer came.
  Unanswered,
  /// The connection was refused: nothing was sent.
  Unconnected,
  /// An answer that is not whole or belongs to another request.
  Wrong,
};

/// The name of an outcome in JSON, for example "not_run".
[[nodiscard]] const char *name(CallOutcome Outcome) noexcept;

/// One call of a request.
struct CallRecord {
  CallOutcome Outcome_ = CallOutcome::Unanswered;
  TimePoint Sent_;
  TimePoint Ended_;
  /// Entry that was called, and what went wrong.
  std::string Detail_;
};

/// One request with all calls that were made for it under one key.
struct RequestRecord {
  std::string Key_;
  std::string Service_;
  bool Once_ = false;
  bool Over_ = false;
  std::vector<CallRecord> Calls_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_REQUEST_RECORD_HPP
