#ifndef MEDLARMOOR_PLACEMENT_FWD_HPP
#define MEDLARMOOR_PLACEMENT_FWD_HPP

namespace medlarmoor::placement {

struct FleetMember;
struct TrackedFlow;
struct EjectionLimits;
struct ConcurrencyLimit;
struct Selection;
struct LeastLoaded;
struct PowerOfTwoChoices;
class FlowTracker;
class Ejector;
class OwnerMap;
class LoadAverages;
class LoadReports;
class Selector;
class ServiceTimes;
class AnswerSize;
class FailureRates;
struct UpstreamStats;
struct Suspect;
struct UpstreamLoad;
struct UpstreamReports;
class SilenceDetector;
class SlidingMaximum;
struct WarmUpBounds;
class WarmUpLimiter;
enum class Outcome : unsigned char;

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FWD_HPP
