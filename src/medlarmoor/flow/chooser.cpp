#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/chooser.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::flow {

namespace {

using upstream::LifecyclePhase;

/// Counts of other homes are a little old; deviating at this part of the
/// bound keeps the true load below the whole.
constexpr double TriggerShare = 0.6;
/// An upstream with few flows stands above its bound by chance alone; this part
/// of its connections more is no harm.
constexpr double SlackShare = 0.01;
/// Established flows after which a warming upstream gets its whole share.
constexpr double WarmSuccesses = 32;
/// A silent upstream is tried this often.
constexpr Nanos ProbePeriod = Seconds(1);
/// By then the homes have told each other what they took before connections
/// became scarce.
constexpr Nanos ScarceSettles = Seconds(2);
/// Table slots that are tried for a deviating flow.
constexpr std::uint64_t Probes = 2;

/// The load of a service's usable upstreams.
struct Load {
  double Flows_ = 1; // the new flow is counted in
  double Weight_ = 0;
};

bool usable(const UpstreamState &Each) {
  return Each.InNewestTable_ && Each.Lifecycle_.takesNew();
}

Load loadOf(const ServiceState &Service) {
  Load Out;
  for (const UpstreamState &Each : Service.upstreams()) {
    if (!usable(Each))
      continue;
    Out.Flows_ += Each.totalOpen();
    Out.Weight_ += Each.Config_.Weight_;
  }
  return Out;
}

/// Flows that the upstream may hold before new ones go elsewhere.
double boundOf(const ServiceState &Service, const UpstreamState &Each,
               const Load &All) {
  const double Fair = All.Flows_ * Each.Config_.Weight_ / All.Weight_;
  double Bound = Fair * (1 + Service.policy().Epsilon_ * TriggerShare) +
                 SlackShare * Each.Config_.Connections_;
  if (Each.Lifecycle_.phase() == LifecyclePhase::Warming)
    Bound *= std::min(1.0, (Each.Successes_ + 1) / WarmSuccesses);
  return std::max(1.0, std::ceil(Bound));
}

/// Decides for one new flow.
class Chooser {
public:
  Chooser(ServiceState &Service, std::uint64_t FlowHash, const HomeShare &Share)
      : Service_(Service), FlowHash_(FlowHash), Share_(Share),
        All_(loadOf(Service)) {}

  [[nodiscard]] bool anyReady() const noexcept { return All_.Weight_ > 0; }

  /// Why the flow must leave the upstream, or Rule::Default when it need not.
  [[nodiscard]] Rule objection(UpstreamIndex Index) const {
    const UpstreamState &Each = Service_.upstreams()[Index];
    if (!usable(Each))
      return Rule::DefaultNotReady;
    if (!hasRoom(Each, Share_))
      return Rule::DefaultFull;
    if (Each.totalOpen() + 1 > boundOf(Service_, Each, All_))
      return Each.Lifecycle_.phase() == LifecyclePhase::Warming
                 ? Rule::DefaultNotReady
                 : Rule::Overloaded;
    return Rule::Default;
  }

  /// The less loaded of a few slots that the flow's hash names, or the least
  /// loaded of all when none of these will do.
  [[nodiscard]] std::optional<UpstreamIndex> elsewhere() const {
    std::optional<UpstreamIndex> Best;
    for (std::uint64_t Try = 1; Try <= Probes; ++Try) {
      const std::uint64_t Slot = mix(FlowHash_, Try) & FlowHashMask;
      const std::optional<UpstreamIndex> Each = Service_.defaultOf(Slot);
      if (Each && objection(*Each) == Rule::Default)
        take(Best, *Each);
    }
    return Best ? Best : leastLoaded();
  }

private:
  [[nodiscard]] double relativeLoad(UpstreamIndex Index) const {
    const UpstreamState &Each = Service_.upstreams()[Index];
    return Each.totalOpen() / boundOf(Service_, Each, All_);
  }

  void take(std::optional<UpstreamIndex> &Best, UpstreamIndex Each) const {
    if (!Best || relativeLoad(Each) < relativeLoad(*Best))
      Best = Each;
  }

  /// Among those with a connection left.
  [[nodiscard]] std::optional<UpstreamIndex> leastLoaded() const {
    std::optional<UpstreamIndex> Best;
    for (std::size_t I = 0; I < Service_.upstreams().size(); ++I) {
      const UpstreamState &Each = Service_.upstreams()[I];
      if (usable(Each) && hasRoom(Each, Share_))
        take(Best, static_cast<UpstreamIndex>(I));
    }
    return Best;
  }

  ServiceState &Service_;
  std::uint64_t FlowHash_;
  const HomeShare &Share_;
  Load All_;
};

/// True, and noted, when a silent upstream is due to be tried.
bool probe(UpstreamState &Each, TimePoint Now) {
  if (Each.Lifecycle_.phase() != LifecyclePhase::Silent ||
      Now - Each.ProbedAt_ < ProbePeriod)
    return false;
  Each.ProbedAt_ = Now;
  return true;
}

} // namespace

bool hasRoom(const UpstreamState &Each, const HomeShare &Share) noexcept {
  if (Each.totalOpen() >= Each.Config_.Connections_)
    return false;
  if (Share.HomeCount_ == 1)
    return true;
  const std::uint32_t Room = Each.announcedRoom();
  const std::uint32_t Untold = Each.LocalOpen_ > Each.AnnouncedOpen_
                                   ? Each.LocalOpen_ - Each.AnnouncedOpen_
                                   : 0;
  if (!Share.scarce(Room))
    return Untold < Room / (2 * Share.HomeCount_);
  const bool AllTold =
      Each.ScarceSince_ && Share.Now_ - *Each.ScarceSince_ >= ScarceSettles;
  return AllTold && Untold == 0 && Room > 0 && Share.Turn_ &&
         (*Share.Turn_ + Each.WireId_) % Share.HomeCount_ == Share.Rank_;
}

std::variant<Choice, RefuseReason>
choose(ServiceState &Service, std::uint64_t FlowHash, const HomeShare &Share) {
  const std::optional<UpstreamIndex> Default = Service.defaultOf(FlowHash);
  if (!Default)
    return RefuseReason::NoneReady;
  const Chooser Decide(Service, FlowHash, Share);
  if (!Decide.anyReady() || probe(Service.upstreams()[*Default], Share.Now_))
    return Choice{*Default, Rule::Default};
  const Rule Objection = Decide.objection(*Default);
  if (Objection == Rule::Default)
    return Choice{*Default, Rule::Default};
  if (const std::optional<UpstreamIndex> Other = Decide.elsewhere())
    return Choice{*Other, Objection};
  return RefuseReason::ServiceFull;
}

} // namespace medlarmoor::flow
