#ifndef MEDLARMOOR_CTL_INTERNAL_UNREACHABLE_HPP
#define MEDLARMOOR_CTL_INTERNAL_UNREACHABLE_HPP

#include <medlarmoor/ctl/outcome.hpp>

#include <string>

namespace medlarmoor::ctl::internal {

/// The outcome of a command that could not read what it needs.
[[nodiscard]] inline Outcome unreachable(const std::string &What,
                                         const std::string &Reason) {
  Outcome Out;
  Out.Code_ = ExitCode::Unreachable;
  Out.Text_ = What + ": can't be read: " + Reason + "\n";
  Out.Json_ = {{"result", "unreachable"}, {"reason", Reason}};
  return Out;
}

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_UNREACHABLE_HPP
