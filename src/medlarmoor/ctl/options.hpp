#ifndef MEDLARMOOR_CTL_OPTIONS_HPP
#define MEDLARMOOR_CTL_OPTIONS_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <optional>
#include <string>

namespace medlarmoor::ctl {

/// What the command line of the operator command asks.
struct Options {
  /// The platform's object API.
  std::optional<Endpoint> Platform_;
  /// The admin port of an entry, for explain.
  std::optional<Endpoint> Entry_;
  /// The version that the operator saw: of what is replaced by apply, of what
  /// is copied by promote.
  std::optional<ConfigVersion> Seen_;
  /// The version of the target that the operator of a promotion saw.
  std::optional<ConfigVersion> Over_;
  /// The environments of a promotion.
  std::string From_;
  std::string To_;
  /// How long a version has to be in force before it may be promoted.
  Seconds Proving_{600};
  /// What explain asks about.
  std::string Flow_;
  std::string Key_;
  /// How long to try while the platform does not answer.
  Millis Patience_{15'000};
};

} // namespace medlarmoor::ctl

#endif // MEDLARMOOR_CTL_OPTIONS_HPP
