#ifndef MEDLARMOOR_CORE_TIME_HPP
#define MEDLARMOOR_CORE_TIME_HPP

#include <chrono>

namespace medlarmoor {

using Nanos = std::chrono::nanoseconds;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A moment on the clock since boot, which never goes back and counts suspended
/// time. It is never sent to another process; ages and remaining times are.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Nanos>;

/// A moment on the wall clock, used only where two processes must compare.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_TIME_HPP
