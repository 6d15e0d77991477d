#ifndef MEDLARMOOR_UPSTREAM_FWD_HPP
#define MEDLARMOOR_UPSTREAM_FWD_HPP

namespace medlarmoor::upstream {

enum class AttemptResult : unsigned char;
enum class LifecycleEvent : unsigned char;
enum class LifecyclePhase : unsigned char;
enum class ServingState : unsigned char;
struct LoadReport;
struct PoolPolicy;
class Lifecycle;
class SlotPool;

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_FWD_HPP
