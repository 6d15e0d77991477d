#include <medlarmoor/admission/admission_control.hpp>

#include <algorithm>

namespace medlarmoor::admission {

namespace {

constexpr unsigned Percent = 100;
/// Weight of the last interval in the moving average, as a divisor.
constexpr int IntervalSmoothing = 8;

Millis millis(Nanos Duration) {
  return std::chrono::duration_cast<Millis>(Duration);
}

} // namespace

AdmissionControl::AdmissionControl(AdmissionLimits Limits) : Limits_(Limits) {}

Verdict AdmissionControl::decide(const ServiceName &Service,
                                 const Demand &Asked, bool Saturated,
                                 std::uint32_t Slots, TimePoint Now) {
  const auto Found = Lines_.find(Service);
  const bool Preceded =
      Found != Lines_.end() && Found->second.Queue_.ahead(Asked.Priority_) > 0;
  if (!Saturated && !Preceded)
    return Admit{};
  Line &Waiting = Found != Lines_.end()
                      ? Found->second
                      : Lines_.try_emplace(Service, Limits_).first->second;
  WaitQueue &Queue = Waiting.Queue_;
  const std::size_t Ahead = Queue.ahead(Asked.Priority_);
  const Nanos Predicted = predictWait(Waiting, Asked, Slots);
  const bool InTime =
      Now + Predicted <= Asked.ArrivedAt_ + Limits_.maxWait(Asked.Objective_);
  if (Saturated && !InTime && !Queue.starving(Asked.Priority_, Now)) {
    Queue.recordRefusal(Asked.Priority_, Now);
    return Refuse{millis(Predicted), Ahead};
  }
  if (Queue.count(Asked.Priority_) == 0)
    Waiting.Paces_[Asked.Priority_].Since_ = Now;
  if (!Queue.push(Asked)) {
    if (!Saturated)
      return Admit{};
    Queue.recordRefusal(Asked.Priority_, Now);
    return Refuse{millis(Predicted), Ahead};
  }
  Flows_.insert(Asked.Flow_);
  return Wait{millis(Predicted), Ahead};
}

Nanos AdmissionControl::predictWait(const Line &Waiting, const Demand &Asked,
                                    std::uint32_t Slots) {
  const auto Found = Waiting.Paces_.find(Asked.Priority_);
  const auto Count =
      static_cast<std::int64_t>(Waiting.Queue_.count(Asked.Priority_));
  // The first flow always waits, so that the pace is measured.
  if (Found != Waiting.Paces_.end() && Found->second.Interval_ > Nanos(0))
    return Count == 0 ? Nanos(0) : Found->second.Interval_ * (Count + 1);
  // Before placements have been measured, all slots are assumed to serve this
  // queue.
  return Waiting.Queue_.workAhead(Asked.Priority_) /
         std::max<std::uint32_t>(Slots, 1);
}

std::vector<ServiceName> AdmissionControl::waitingServices() const {
  std::vector<ServiceName> Services;
  for (const auto &[Service, Waiting] : Lines_)
    if (!Waiting.Queue_.empty())
      Services.push_back(Service);
  return Services;
}

std::optional<Demand> AdmissionControl::next(const ServiceName &Service,
                                             TimePoint Now) {
  const auto Found = Lines_.find(Service);
  if (Found == Lines_.end())
    return std::nullopt;
  Line &Waiting = Found->second;
  const std::optional<Demand> Next = Waiting.Queue_.pop(Now);
  if (!Next)
    return std::nullopt;
  Flows_.erase(Next->Flow_);
  Pace &Measured = Waiting.Paces_[Next->Priority_];
  const Nanos Interval = Now - Measured.Since_;
  Measured.Interval_ =
      Measured.Interval_ == Nanos(0)
          ? Interval
          : Measured.Interval_ +
                (Interval - Measured.Interval_) / IntervalSmoothing;
  Measured.Since_ = Now;
  return Next;
}

std::optional<Demand> AdmissionControl::nextOverdue(const ServiceName &Service,
                                                    TimePoint Now) {
  const auto Found = Lines_.find(Service);
  if (Found == Lines_.end())
    return std::nullopt;
  const std::optional<Demand> Overdue = Found->second.Queue_.popOverdue(Now);
  if (Overdue)
    Flows_.erase(Overdue->Flow_);
  return Overdue;
}

bool AdmissionControl::canMeetObjective(const Demand &Asked, double Load,
                                        std::uint32_t Slots,
                                        TimePoint Now) const noexcept {
  const double Rounds = (Load + 1.0) / static_cast<double>(Slots);
  const auto Duration = std::chrono::duration_cast<Nanos>(
      std::max(Rounds, 1.0) * std::chrono::duration<double>(Asked.Work_));
  return Now + Duration <=
         Asked.ArrivedAt_ + Asked.Objective_ * Limits_.AnswerPercent_ / Percent;
}

} // namespace medlarmoor::admission
