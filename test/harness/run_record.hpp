#ifndef MEDLARMOOR_HARNESS_RUN_RECORD_HPP
#define MEDLARMOOR_HARNESS_RUN_RECORD_HPP

#include <medlarmoor/core/time.hpp>

#include <string>

namespace medlarmoor::harness {

/// One request that an upstream began to run.
struct RunRecord {
  std::string Key_;
  std::string Attempt_;
  /// Its class is `once`.
  bool Once_ = false;
  /// On the steady clock, which all processes of a machine share.
  TimePoint Start_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_RUN_RECORD_HPP
