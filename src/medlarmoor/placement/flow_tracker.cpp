#include <medlarmoor/placement/flow_tracker.hpp>

#include <algorithm>

namespace medlarmoor::placement {

namespace {

/// Returns the time at which something is due for the flow if its client sends
/// nothing more.
TimePoint nextDeadline(const TrackedFlow &Flow) noexcept {
  TimePoint Deadline = Flow.LastPacketAt_ + Flow.IdleTimeout_;
  if (Flow.Busy_ && !Flow.Silent_)
    Deadline = std::min(Deadline, Flow.LastPacketAt_ + Flow.SilenceTimeout_);
  if (Flow.awaitsAnswer())
    Deadline = std::min(Deadline, Flow.DueAt_);
  return Deadline;
}

} // namespace

TrackedFlow *FlowTracker::find(const affinity::FlowKey &Key) noexcept {
  const auto Found = Flows_.find(Key);
  return Found == Flows_.end() ? nullptr : &Found->second;
}

TrackedFlow &FlowTracker::add(const affinity::FlowKey &Key,
                              affinity::Tag Upstream, Millis HandshakeTimeout,
                              TimePoint Now) {
  const auto [Slot, Inserted] = Flows_.try_emplace(Key);
  if (!Inserted)
    release(Slot->second);
  TrackedFlow &Flow = Slot->second;
  Flow = {};
  Flow.Upstream_ = Upstream;
  Flow.FirstSeen_ = Now;
  Flow.PlacedAt_ = Now;
  Flow.LastPacketAt_ = Now;
  Flow.SilenceTimeout_ = Flow.IdleTimeout_ = HandshakeTimeout;
  count(Flow);
  scheduleCheck(Key, Flow);
  return Flow;
}

void FlowTracker::open(const affinity::FlowKey &Key, TrackedFlow &Flow,
                       Millis SilenceTimeout, Millis IdleTimeout,
                       TimePoint Now) {
  Flow.Open_ = true;
  Flow.OpenedAt_ = Now;
  Flow.SilenceTimeout_ = SilenceTimeout;
  Flow.IdleTimeout_ = std::max(SilenceTimeout, IdleTimeout);
  touch(Flow, Now);
  scheduleCheck(Key, Flow);
}

void FlowTracker::beginRequest(const affinity::FlowKey &Key, TrackedFlow &Flow,
                               TimePoint DueAt, TimePoint Now) {
  setBusy(Flow, true);
  Flow.RequestSent_ = true;
  Flow.Overdue_ = false;
  Flow.RequestedAt_ = Now;
  Flow.DueAt_ = DueAt;
  Flow.RequestAck_ = Flow.LastAck_;
  touch(Flow, Now);
  scheduleCheck(Key, Flow);
}

void FlowTracker::move(TrackedFlow &Flow, affinity::Tag Upstream,
                       TimePoint Now) {
  release(Flow);
  Flow.Upstream_ = Upstream;
  Flow.PlacedAt_ = Now;
  Flow.SynResent_ = false;
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
  Flow.LastPacketAt_ = Now;
  Flow.Silent_ = false;
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
  while (!Checks_.empty() && Checks_.top().first <= Now) {
    const auto [At, Key] = Checks_.top();
    Checks_.pop();
    TrackedFlow *Flow = find(Key);
    if (!Flow || Flow->NextCheck_ != At)
      continue;
    if (Flow->awaitsAnswer() && Now >= Flow->DueAt_) {
      Flow->Overdue_ = true;
      Found.Overdue_.emplace_back(Key, *Flow);
    }
    const Nanos Silence = Now - Flow->LastPacketAt_;
    const bool Expired = Silence >= Flow->IdleTimeout_;
    if (!Flow->Silent_ &&
        (Expired || (Flow->Busy_ && Silence >= Flow->SilenceTimeout_))) {
      Found.Silent_.emplace_back(Key, *Flow);
      Flow->Silent_ = true;
      Flow->RequestSent_ = false;
      setBusy(*Flow, false);
    }
    if (Expired) {
      erase(Key);
      continue;
    }
    Flow->NextCheck_ = TimePoint::max();
    scheduleCheck(Key, *Flow);
  }
  return Found;
}

void FlowTracker::scheduleCheck(const affinity::FlowKey &Key,
                                TrackedFlow &Flow) {
  const TimePoint Deadline = nextDeadline(Flow);
  if (Deadline >= Flow.NextCheck_)
    return;
  Flow.NextCheck_ = Deadline;
  Checks_.emplace(Deadline, Key);
}

std::uint32_t FlowTracker::active(affinity::Tag Upstream) const noexcept {
  const auto Found = Counts_.find(Upstream);
  return Found == Counts_.end() ? 0 : Found->second.Active_;
}

FlowTracker::ActiveCounts FlowTracker::activeCounts() const {
  ActiveCounts Active;
  for (const auto &[Upstream, Count] : Counts_)
    if (Count.Active_ > 0)
      Active.emplace_back(Upstream, Count.Active_);
  return Active;
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
