#include <medlarmoor/placement/flow_tracker.hpp>

namespace medlarmoor::placement {

namespace {

/// Interval at which each flow is checked: the maximum delay until a silent
/// flow or an overdue answer is noticed.
constexpr Millis CheckInterval{100};

} // namespace

TrackedFlow *FlowTracker::find(const affinity::FlowKey &Key) noexcept {
  const auto Found = Flows_.find(Key);
  return Found == Flows_.end() ? nullptr : &Found->second;
}

TrackedFlow &FlowTracker::add(const affinity::FlowKey &Key,
                              affinity::Tag Upstream, Millis IdleTimeout,
                              TimePoint Now) {
  const auto [Slot, Inserted] = Flows_.try_emplace(Key);
  if (!Inserted)
    release(Slot->second.Upstream_);
  else
    Checks_.emplace_back(Now + CheckInterval, Key);
  TrackedFlow &Flow = Slot->second;
  Flow = {};
  Flow.Upstream_ = Upstream;
  Flow.FirstSeen_ = Now;
  Flow.PlacedAt_ = Now;
  Flow.ExpiresAt_ = Now + IdleTimeout;
  Flow.IdleTimeout_ = IdleTimeout;
  ++Active_[Upstream];
  return Flow;
}

void FlowTracker::move(TrackedFlow &Flow, affinity::Tag Upstream,
                       TimePoint Now) {
  release(Flow.Upstream_);
  Flow.Upstream_ = Upstream;
  Flow.PlacedAt_ = Now;
  ++Active_[Upstream];
}

void FlowTracker::touch(TrackedFlow &Flow, TimePoint Now) noexcept {
  Flow.ExpiresAt_ = Now + Flow.IdleTimeout_;
}

void FlowTracker::erase(const affinity::FlowKey &Key) {
  const auto Found = Flows_.find(Key);
  if (Found == Flows_.end())
    return;
  release(Found->second.Upstream_);
  Flows_.erase(Found);
}

FlowTracker::Timeouts FlowTracker::expire(TimePoint Now) {
  Timeouts Found;
  while (!Checks_.empty() && Checks_.front().first <= Now) {
    const affinity::FlowKey Key = Checks_.front().second;
    Checks_.pop_front();
    TrackedFlow *Flow = find(Key);
    if (!Flow)
      continue;
    if (Flow->Open_ && Flow->RequestSent_ && !Flow->Overdue_ &&
        Flow->receivedBytes() == 0 && Now >= Flow->DueAt_) {
      Flow->Overdue_ = true;
      Found.Overdue_.emplace_back(Key, *Flow);
    }
    if (Flow->ExpiresAt_ > Now) {
      Checks_.emplace_back(Now + CheckInterval, Key);
      continue;
    }
    Found.Silent_.emplace_back(Key, *Flow);
    erase(Key);
  }
  return Found;
}

std::uint32_t FlowTracker::active(affinity::Tag Upstream) const noexcept {
  const auto Found = Active_.find(Upstream);
  return Found == Active_.end() ? 0 : Found->second;
}

void FlowTracker::release(affinity::Tag Upstream) noexcept {
  const auto Found = Active_.find(Upstream);
  if (Found != Active_.end() && --Found->second == 0)
    Active_.erase(Found);
}

} // namespace medlarmoor::placement
