#ifndef MEDLARMOOR_UPSTREAM_FWD_HPP
#define MEDLARMOOR_UPSTREAM_FWD_HPP

namespace medlarmoor::upstream {

enum class LifecycleEvent : unsigned char;
enum class LifecyclePhase : unsigned char;
class Lifecycle;

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_FWD_HPP
