#ifndef MEDLARMOOR_HARNESS_WAIT_HPP
#define MEDLARMOOR_HARNESS_WAIT_HPP

#include <medlarmoor/core/time.hpp>

#include <functional>

namespace medlarmoor::harness {

/// Asks Condition again and again until it holds; false when it does not
/// within Limit.
[[nodiscard]] bool waitUntil(const std::function<bool()> &Condition,
                             Millis Limit = Seconds(10));

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_WAIT_HPP
