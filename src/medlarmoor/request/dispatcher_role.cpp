#include <medlarmoor/request/dispatcher_role.hpp>
#include <medlarmoor/request/submission_reader.hpp>

namespace medlarmoor::request {

namespace {

/// How long a handoff that arrives before the view remains valid, in leases.
constexpr int HandoffLeases = 4;

} // namespace

DispatcherRole::DispatcherRole(EntryName Self, Millis Lease, Clock Time)
    : Self_(std::move(Self)), Lease_(Lease), Time_(std::move(Time)),
      View_(std::make_shared<membership::View>()), LastCheck_(Time_.now()) {}

void DispatcherRole::onView(membership::ViewPtr View) {
  checkClock();
  View_ = std::move(View);
  SuspendedAt_.reset();
  std::erase_if(Terms_,
                [&](const auto &Held) { return !isDispatcher(Held.first); });
}

void DispatcherRole::onHandoff(const ServiceName &Service, WallTime From) {
  ReceivedHandoffs_[Service] = {From, Time_.now()};
  const auto Found = Terms_.find(Service);
  if (Found == Terms_.end())
    return;
  Found->second.DecidesFrom_ = std::min(Found->second.DecidesFrom_, From);
  Found->second.HandoffReceived_ = true;
}

void DispatcherRole::checkClock() {
  const TimePoint Now = Time_.now();
  if (Now - LastCheck_ > Lease_) {
    SuspendedAt_ = Now;
    Terms_.clear();
    ReceivedHandoffs_.clear();
  }
  LastCheck_ = Now;
  if (SuspendedAt_ && Now - *SuspendedAt_ > 2 * Lease_)
    SuspendedAt_.reset();
}

const membership::Member *
DispatcherRole::dispatcher(const ServiceName &Service) const {
  const std::uint64_t Key = homeKey(Service);
  return Leaving_ ? View_->homeWithout(Key, Self_) : View_->home(Key);
}

bool DispatcherRole::isDispatcher(const ServiceName &Service) const {
  if (SuspendedAt_ || Leaving_)
    return false;
  const membership::Member *Home = View_->home(homeKey(Service));
  return Home && Home->Name_ == Self_;
}

DispatcherRole::Term *DispatcherRole::term(const ServiceName &Service) {
  if (!isDispatcher(Service))
    return nullptr;
  const auto [Found, Inserted] = Terms_.try_emplace(Service);
  if (!Inserted)
    return &Found->second;
  Found->second = {Time_.wallNow() + MaxClockSkew, Time_.now(), false};
  const auto Received = ReceivedHandoffs_.find(Service);
  const bool StillValid =
      Received != ReceivedHandoffs_.end() &&
      Time_.now() - Received->second.second < HandoffLeases * Lease_;
  if (StillValid) {
    Found->second.DecidesFrom_ =
        std::min(Found->second.DecidesFrom_, Received->second.first);
    Found->second.HandoffReceived_ = true;
  }
  return &Found->second;
}

WallTime DispatcherRole::decidesFrom(const ServiceName &Service) {
  const Term *Current = term(Service);
  return Current ? Current->DecidesFrom_ : WallTime::max();
}

bool DispatcherRole::awaitsHandoff(const ServiceName &Service) {
  const Term *Current = term(Service);
  if (!Current || Current->HandoffReceived_ ||
      Time_.now() - Current->StartedAt_ > Lease_)
    return false;
  return View_->homeWithout(homeKey(Service), Self_) != nullptr;
}

} // namespace medlarmoor::request
