#include <medlarmoor/placement/flow_tracker.hpp>

namespace medlarmoor::placement {

namespace {

/// How late a silent flow may be noticed.
constexpr Millis CheckInterval{500};

} // namespace

TrackedFlow *FlowTracker::find(const affinity::FlowKey &Key) noexcept {
  const auto Found = Flows_.find(Key);
  return Found == Flows_.end() ? nullptr : &Found->second;
}

TrackedFlow &FlowTracker::add(const affinity::FlowKey &Key,
                              affinity::Tag Upstream, Millis Timeout,
                              TimePoint Now) {
  const auto [At, Inserted] = Flows_.try_emplace(Key);
  if (!Inserted)
    release(At->second.Upstream_);
  else
    Checks_.emplace_back(Now + CheckInterval, Key);
  At->second = {Upstream, Now, Now, {}, Now + Timeout, Timeout, false};
  ++Active_[Upstream];
  return At->second;
}

void FlowTracker::move(TrackedFlow &Flow, affinity::Tag Upstream,
                       TimePoint Now) {
  release(Flow.Upstream_);
  Flow.Upstream_ = Upstream;
  Flow.PlacedAt_ = Now;
  ++Active_[Upstream];
}

void FlowTracker::touch(TrackedFlow &Flow, TimePoint Now) noexcept {
  Flow.ExpiresAt_ = Now + Flow.Timeout_;
}

void FlowTracker::erase(const affinity::FlowKey &Key) {
  const auto Found = Flows_.find(Key);
  if (Found == Flows_.end())
    return;
  release(Found->second.Upstream_);
  Flows_.erase(Found);
}

std::vector<std::pair<affinity::FlowKey, TrackedFlow>>
FlowTracker::expire(TimePoint Now) {
  std::vector<std::pair<affinity::FlowKey, TrackedFlow>> Silent;
  while (!Checks_.empty() && Checks_.front().first <= Now) {
    const affinity::FlowKey Key = Checks_.front().second;
    Checks_.pop_front();
    const TrackedFlow *Flow = find(Key);
    if (!Flow)
      continue;
    if (Flow->ExpiresAt_ > Now) {
      Checks_.emplace_back(Now + CheckInterval, Key);
      continue;
    }
    Silent.emplace_back(Key, *Flow);
    erase(Key);
  }
  return Silent;
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
