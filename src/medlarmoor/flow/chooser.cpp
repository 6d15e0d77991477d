#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/chooser.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::flow {

namespace {

using upstream::LifecyclePhase;

/// Part of epsilon at which new flows are already sent to another upstream.
/// The counts of other homes are slightly out of date; the margin keeps the
/// true load within the whole of epsilon.
constexpr double TriggerShare = 0.6;
/// Part of its connections that an upstream may hold above its bound. With few
/// flows an upstream exceeds its bound by chance alone, which does no harm.
constexpr double SlackShare = 0.01;
/// Established flows after which a warming upstream gets its full share.
constexpr double WarmSuccesses = 32;
/// Interval at which a silent upstream is probed with a new flow.
constexpr Nanos ProbePeriod = Seconds(1);
/// Time after which the homes have announced to each other the flows that they
/// opened before connections became scarce.
constexpr Nanos ScarceSettles = Seconds(2);
/// Table slots that are examined for a flow that leaves its default.
constexpr std::uint64_t AlternativeSlots = 2;

/// The load on a service's usable upstreams.
struct Load {
  double Flows_ = 1; // includes the new flow
  double Weight_ = 0;
};

bool usable(const UpstreamState &Candidate) {
  return Candidate.InNewestTable_ && Candidate.Lifecycle_.takesNewWork();
}

Load loadOf(const ServiceState &Service) {
  Load Total;
  for (const UpstreamState &Candidate : Service.upstreams()) {
    if (!usable(Candidate))
      continue;
    Total.Flows_ += Candidate.totalOpen();
    Total.Weight_ += Candidate.Config_.Weight_;
  }
  return Total;
}

/// Returns the number of flows that the upstream may hold before new ones go
/// to another upstream.
double boundOf(const ServiceState &Service, const UpstreamState &Candidate,
               const Load &Total) {
  const double FairShare =
      Total.Flows_ * Candidate.Config_.Weight_ / Total.Weight_;
  double Bound = FairShare * (1 + Service.policy().Epsilon_ * TriggerShare) +
                 SlackShare * Candidate.Config_.Connections_;
  if (Candidate.Lifecycle_.phase() == LifecyclePhase::Warming)
    Bound *= std::min(1.0, (Candidate.Successes_ + 1) / WarmSuccesses);
  return std::max(1.0, std::ceil(Bound));
}

/// Evaluates the upstreams of a service for one new flow.
class Chooser {
public:
  Chooser(ServiceState &Service, std::uint64_t FlowHash, const HomeShare &Share)
      : Service_(Service), FlowHash_(FlowHash), Share_(Share),
        Total_(loadOf(Service)) {}

  [[nodiscard]] bool anyReady() const noexcept { return Total_.Weight_ > 0; }

  /// Returns why the flow must not go to the upstream, or Rule::Default if it
  /// may.
  [[nodiscard]] Rule objection(UpstreamIndex Index) const {
    const UpstreamState &Candidate = Service_.upstreams()[Index];
    if (!usable(Candidate))
      return Rule::DefaultNotReady;
    if (!hasRoom(Candidate, Share_))
      return Rule::DefaultFull;
    if (Candidate.totalOpen() + 1 > boundOf(Service_, Candidate, Total_))
      return Candidate.Lifecycle_.phase() == LifecyclePhase::Warming
                 ? Rule::DefaultNotReady
                 : Rule::Overloaded;
    return Rule::Default;
  }

  /// Returns the less loaded upstream of a few slots derived from the flow's
  /// hash, or the least loaded of all if none of these is acceptable.
  [[nodiscard]] std::optional<UpstreamIndex> alternative() const {
    std::optional<UpstreamIndex> Best;
    for (std::uint64_t Attempt = 1; Attempt <= AlternativeSlots; ++Attempt) {
      const std::uint64_t Hash = mix(FlowHash_, Attempt) & FlowHashMask;
      const std::optional<UpstreamIndex> Candidate = Service_.defaultOf(Hash);
      if (Candidate && objection(*Candidate) == Rule::Default)
        keepLessLoaded(Best, *Candidate);
    }
    return Best ? Best : leastLoaded();
  }

private:
  [[nodiscard]] double relativeLoad(UpstreamIndex Index) const {
    const UpstreamState &Candidate = Service_.upstreams()[Index];
    return Candidate.totalOpen() / boundOf(Service_, Candidate, Total_);
  }

  void keepLessLoaded(std::optional<UpstreamIndex> &Best,
                      UpstreamIndex Candidate) const {
    if (!Best || relativeLoad(Candidate) < relativeLoad(*Best))
      Best = Candidate;
  }

  /// Returns the least loaded of the upstreams that have a connection left.
  [[nodiscard]] std::optional<UpstreamIndex> leastLoaded() const {
    std::optional<UpstreamIndex> Best;
    for (std::size_t I = 0; I < Service_.upstreams().size(); ++I) {
      const UpstreamState &Candidate = Service_.upstreams()[I];
      if (usable(Candidate) && hasRoom(Candidate, Share_))
        keepLessLoaded(Best, static_cast<UpstreamIndex>(I));
    }
    return Best;
  }

  ServiceState &Service_;
  std::uint64_t FlowHash_;
  const HomeShare &Share_;
  Load Total_;
};

/// Returns true if the upstream is silent and due for a probe, and records the
/// time of the probe.
bool probe(UpstreamState &Candidate, TimePoint Now) {
  if (Candidate.Lifecycle_.phase() != LifecyclePhase::Silent ||
      Now - Candidate.ProbedAt_ < ProbePeriod)
    return false;
  Candidate.ProbedAt_ = Now;
  return true;
}

} // namespace

bool hasRoom(const UpstreamState &Candidate, const HomeShare &Share) noexcept {
  if (Candidate.totalOpen() >= Candidate.Config_.Connections_)
    return false;
  if (Share.HomeCount_ == 1)
    return true;
  const std::uint32_t Room = Candidate.announcedRoom();
  const std::uint32_t Unannounced =
      Candidate.LocalOpen_ > Candidate.AnnouncedOpen_
          ? Candidate.LocalOpen_ - Candidate.AnnouncedOpen_
          : 0;
  if (!Share.scarce(Room))
    return Unannounced < Room / (2 * Share.HomeCount_);
  const bool AllAnnounced =
      Candidate.ScarceSince_ &&
      Share.Now_ - *Candidate.ScarceSince_ >= ScarceSettles;
  return AllAnnounced && Unannounced == 0 && Room > 0 && Share.Turn_ &&
         (*Share.Turn_ + Candidate.WireId_) % Share.HomeCount_ == Share.Rank_;
}

std::variant<Choice, RefuseReason>
choose(ServiceState &Service, std::uint64_t FlowHash, const HomeShare &Share) {
  const std::optional<UpstreamIndex> Default = Service.defaultOf(FlowHash);
  if (!Default)
    return RefuseReason::NoneReady;
  const Chooser Evaluation(Service, FlowHash, Share);
  if (!Evaluation.anyReady() ||
      probe(Service.upstreams()[*Default], Share.Now_))
    return Choice{*Default, Rule::Default};
  const Rule Objection = Evaluation.objection(*Default);
  if (Objection == Rule::Default)
    return Choice{*Default, Rule::Default};
  if (const std::optional<UpstreamIndex> Alternative = Evaluation.alternative())
    return Choice{*Alternative, Objection};
  return RefuseReason::ServiceFull;
}

} // namespace medlarmoor::flow
