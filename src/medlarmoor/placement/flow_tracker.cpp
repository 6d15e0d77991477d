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
    release(Slot->second);
  else
    Checks_.emplace_back(Now + CheckInterval, Key);
  TrackedFlow &Flow = Slot->second;
  Flow = {};
  Flow.Upstream_ = Upstream;
  Flow.FirstSeen_ = Now;
  Flow.PlacedAt_ = Now;
  Flow.ExpiresAt_ = Now + IdleTimeout;
  Flow.IdleTimeout_ = IdleTimeout;
  count(Flow);
  return Flow;
}

void FlowTracker::move(TrackedFlow &Flow, affinity::Tag Upstream,
                       TimePoint Now) {
  release(Flow);
  Flow.Upstream_ = Upstream;
  Flow.PlacedAt_ = Now;
  count(Flow);
}

void FlowTracker::setBusy(TrackedFlow &Flow, bool Busy) noexcept {
  if (Flow.Busy_ == Busy)
    return;
  Flow.Busy_ = Busy;
  std::uint32_t &Active = Counts_[Flow.Upstream_].Active_;
  Active = Busy ? Active + 1 : Active - 1;
}

void FlowTracker::touch(TrackedFlow &Flow, TimePoint Now) noexcept {
  Flow.ExpiresAt_ = Now + Flow.IdleTimeout_;
}

void FlowTracker::erase(const affinity::FlowKey &Key) {
  const auto Found = Flows_.find(Key);
  if (Found == Flows_.end())
    return;
  release(Found->second);
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
  const auto Found = Counts_.find(Upstream);
  return Found == Counts_.end() ? 0 : Found->second.Active_;
}

std::uint32_t FlowTracker::tracked(affinity::Tag Upstream) const noexcept {
  const auto Found = Counts_.find(Upstream);
  return Found == Counts_.end() ? 0 : Found->second.Tracked_;
}

void FlowTracker::count(const TrackedFlow &Flow) {
  Counts &Upstream = Counts_[Flow.Upstream_];
  ++Upstream.Tracked_;
  Upstream.Active_ += Flow.Busy_ ? 1 : 0;
}

void FlowTracker::release(const TrackedFlow &Flow) noexcept {
  const auto Found = Counts_.find(Flow.Upstream_);
  if (Found == Counts_.end())
    return;
  Found->second.Active_ -= Flow.Busy_ ? 1 : 0;
  if (--Found->second.Tracked_ == 0)
    Counts_.erase(Found);
}

} // namespace medlarmoor::placement
