#include <medlarmoor/admission/wait_queue.hpp>

namespace medlarmoor::admission {

WaitQueue::WaitQueue(AdmissionLimits Limits) : Limits_(Limits) {}

bool WaitQueue::push(const Demand &Added) {
  if (size() >= Limits_.MaxWaiting_)
    return false;
  Level &Target = Levels_[Added.Priority_];
  const std::uint64_t Sequence = ++LastSequence_;
  const TimePoint Until = Added.ArrivedAt_ + Limits_.maxWait(Added.Objective_);
  const auto Position =
      Target.Order_
          .insert({Added.latestStart(), Added.Work_, Sequence, Added, Until})
          .first;
  Target.Work_ += Added.Work_;
  Overdue_.insert({Until, Sequence, Added.Priority_, Position});
  return true;
}

std::optional<Demand> WaitQueue::pop(TimePoint Now) {
  Level *Next = nullptr;
  for (auto &[Priority, Candidate] : Levels_) {
    if (Candidate.Order_.empty())
      continue;
    if (!Next || starving(Candidate, Now))
      Next = &Candidate;
  }
  if (!Next)
    return std::nullopt;
  Next->RefusedSince_.reset();
  return take(*Next, Next->Order_.begin());
}

std::optional<Demand> WaitQueue::popOverdue(TimePoint Now) {
  if (Overdue_.empty() || Overdue_.begin()->Until_ > Now)
    return std::nullopt;
  const Deadline First = *Overdue_.begin();
  return take(Levels_[First.Priority_], First.Position_);
}

Demand WaitQueue::take(Level &From, std::set<Waiting>::iterator Position) {
  Demand Taken = Position->Demand_;
  From.Work_ -= Position->Work_;
  Overdue_.erase(
      {Position->Until_, Position->Sequence_, Taken.Priority_, Position});
  From.Order_.erase(Position);
  return Taken;
}

void WaitQueue::recordRefusal(unsigned Priority, TimePoint Now) {
  std::optional<TimePoint> &Since = Levels_[Priority].RefusedSince_;
  Since = Since.value_or(Now);
}

bool WaitQueue::starving(unsigned Priority, TimePoint Now) const noexcept {
  const auto Found = Levels_.find(Priority);
  return Found != Levels_.end() && starving(Found->second, Now);
}

std::size_t WaitQueue::count(unsigned Priority) const noexcept {
  const auto Found = Levels_.find(Priority);
  return Found == Levels_.end() ? 0 : Found->second.Order_.size();
}

std::size_t WaitQueue::ahead(unsigned Priority) const noexcept {
  std::size_t Count = 0;
  for (const auto &[Key, Preceding] : Levels_)
    Count += Key <= Priority ? Preceding.Order_.size() : 0;
  return Count;
}

Nanos WaitQueue::workAhead(unsigned Priority) const noexcept {
  Nanos Work{0};
  for (const auto &[Key, Preceding] : Levels_)
    Work += Key <= Priority ? Preceding.Work_ : Nanos(0);
  return Work;
}

} // namespace medlarmoor::admission
