#include <medlarmoor/placement/warm_up_limiter.hpp>

#include <medlarmoor/discovery/catalog_entry.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::placement {

using discovery::CatalogEntry;

namespace {

/// Share of the limit that one owner may use. Two owners that do not know of
/// each other use 0.9 of it, which leaves room for SYNs that are delayed.
constexpr double OwnerShare = 0.45;
/// Period for which SYNs are counted: the second of the limit, and a tenth for
/// the differing delays of SYNs on the network.
constexpr Millis CountedPeriod{1100};
/// A process without an update for this long was paused.
constexpr Millis MinPause{1000};
/// Time until an instance that was started or resumed has learned of the others
/// and they of it: several rounds of gossip, which start at intervals of 1 s.
/// With 6 s, three instances of 40 regarded themselves as owners.
constexpr Millis SettleTime{12'000};
/// How long an instance that is no longer known still counts as an owner. Views
/// of when it was last heard of differ by less than the lifetime of a member,
/// 10 s. A large fleet needs more, because each instance knows a changing part
/// of it: with 12 s, three instances of 118 regarded themselves as owners.
constexpr Millis DepartureTime{30'000};
/// How long the number of instances before a loss is remembered.
constexpr Millis PeakMemory{600'000};

} // namespace

WarmUpLimiter::GroupShare::GroupShare()
    : Peak_(PeakMemory), RecentPeak_(DepartureTime), Loss_(DepartureTime) {}

void WarmUpLimiter::GroupShare::record(std::size_t Count, TimePoint Now) {
  const auto Current = static_cast<double>(Count);
  const double Peak = Peak_.record(Current, Now);
  const bool LostMost = 2 * Current < RecentPeak_.record(Current, Now);
  // A share that has grown counts after the departure time, when the other
  // groups have learned of the instances that join this one.
  Value_ = 1 - Loss_.record(LostMost ? 1 : 1 - Current / Peak, Now);
}

WarmUpLimiter::WarmUpLimiter(FleetMember Self,
                             std::optional<WarmUpBounds> Bounds,
                             std::size_t Seeds)
    : Self_(Self), Bounds_(Bounds), Seeds_(Seeds), Owners_(std::move(Self)) {}

void WarmUpLimiter::setRates(Rates PerSecond) {
  Rates_ = std::move(PerSecond);
  LastRate_ = {};
}

void WarmUpLimiter::update(const std::vector<OwnerMap::Location> &Upstreams,
                           const std::vector<FleetMember> &Others,
                           TimePoint Now) {
  if (!Bounds_)
    return;
  if (!LastUpdate_ || Now - *LastUpdate_ >= MinPause ||
      (Others.empty() && Seeds_ > 0))
    SettledAt_ = Now + SettleTime;
  LastUpdate_ = Now;
  std::size_t LocalCount = 1;
  for (const FleetMember &Other : Others) {
    Members_[Other.Address_] = {Other.Domain_, Now};
    DomainSeenAt_[Other.Domain_] = Now;
    LocalCount += Other.Domain_ == Self_.Domain_ ? 1 : 0;
  }
  LocalShare_.record(LocalCount, Now);
  FleetShare_.record(Others.size() + 1, Now);
  std::erase_if(Members_, [Now](const auto &Item) {
    return Now - Item.second.LastKnownAt_ > DepartureTime;
  });
  std::erase_if(DomainSeenAt_, [Now](const auto &Item) {
    return Now - Item.second > PeakMemory;
  });
  std::erase_if(Sent_, [Now](const auto &Item) {
    return Now - Item.second.back() >= CountedPeriod;
  });
  updateOwners(Upstreams);
}

void WarmUpLimiter::updateOwners(
    const std::vector<OwnerMap::Location> &Upstreams) {
  std::vector<FleetMember> Among;
  for (const auto &[Address, Member] : Members_)
    Among.push_back({Address, Member.Domain_});
  if (Upstreams == OwnedFrom_ && Among == OwnedAmong_)
    return;
  OwnedFrom_ = Upstreams;
  OwnedAmong_ = Among;
  Owners_.update(Upstreams, std::move(Among));
}

bool WarmUpLimiter::applies(const CatalogEntry &Upstream, TimePoint Now) const {
  return Bounds_ && Upstream.warmingUp(Now) &&
         rate(Upstream.Upstream_.Service_) > 0;
}

double WarmUpLimiter::rate(const ServiceName &Service) const {
  if (LastRate_.first != Service) {
    const auto Found = Rates_.find(Service);
    LastRate_ = {Service, Found == Rates_.end() ? 0 : Found->second};
  }
  return LastRate_.second;
}

double WarmUpLimiter::share(const CatalogEntry &Upstream, TimePoint Now) const {
  if (!LastUpdate_ || Now - *LastUpdate_ >= MinPause || Now < SettledAt_ ||
      !Owners_.ranksFirst(Upstream.Tag_))
    return 0;
  const DomainName &Domain = Upstream.Upstream_.Domain_;
  if (Domain == Self_.Domain_)
    return LocalShare_.value();
  // Instances of that domain may be cut off from this one and still serve.
  return DomainSeenAt_.contains(Domain) ? 0 : FleetShare_.value();
}

bool WarmUpLimiter::limited(const CatalogEntry &Upstream, TimePoint Now) const {
  if (!applies(Upstream, Now))
    return false;
  const double Share = share(Upstream, Now);
  if (Share <= 0)
    return true;
  const double Limit =
      rate(Upstream.Upstream_.Service_) * Bounds_->Overage_ + Bounds_->Slack_;
  const double Budget = std::floor(OwnerShare * Limit * Share);
  if (Budget < 1)
    return true;
  const auto Found = Sent_.find(Upstream.Tag_);
  if (Found == Sent_.end() ||
      static_cast<double>(Found->second.size()) < Budget)
    return false;
  const auto &Times = Found->second;
  return Now - Times[Times.size() - static_cast<std::size_t>(Budget)] <
         CountedPeriod;
}

void WarmUpLimiter::spend(const CatalogEntry &Upstream, TimePoint Now) {
  if (!applies(Upstream, Now))
    return;
  std::deque<TimePoint> &Times = Sent_[Upstream.Tag_];
  Times.push_back(Now);
  while (Now - Times.front() >= CountedPeriod)
    Times.pop_front();
}

} // namespace medlarmoor::placement
