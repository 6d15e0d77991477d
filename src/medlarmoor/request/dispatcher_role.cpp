#include <medlarmoor/request/dispatcher_role.hpp>
#include <medlarmoor/request/submission_reader.hpp>

namespace medlarmoor::request {

namespace {

/// A handover that arrives ahead of the view counts for this many leases.
constexpr int HandoverLeases = 4;

} // namespace

DispatcherRole::DispatcherRole(EntryName Self, Millis Lease, Clock Time)
    : Self_(std::move(Self)), Lease_(Lease), Time_(std::move(Time)),
      View_(std::make_shared<membership::View>()), Checked_(Time_.now()) {}

void DispatcherRole::onView(membership::ViewPtr Now) {
  check();
  View_ = std::move(Now);
  Suspended_.reset();
  std::erase_if(Terms_,
                [&](const auto &Each) { return !isDispatcher(Each.first); });
}

void DispatcherRole::onHandover(const ServiceName &Service, WallTime From) {
  Received_[Service] = {From, Time_.now()};
  const auto At = Terms_.find(Service);
  if (At == Terms_.end())
    return;
  At->second.From_ = std::min(At->second.From_, From);
  At->second.HandedOver_ = true;
}

void DispatcherRole::check() {
  const TimePoint Now = Time_.now();
  if (Now - Checked_ > Lease_) {
    Suspended_ = Now;
    Terms_.clear();
    Received_.clear();
  }
  Checked_ = Now;
  if (Suspended_ && Now - *Suspended_ > 2 * Lease_)
    Suspended_.reset();
}

const membership::Member *
DispatcherRole::dispatcher(const ServiceName &Service) const {
  const std::uint64_t Key = homeKey(Service);
  return Leaving_ ? View_->homeWithout(Key, Self_) : View_->home(Key);
}

bool DispatcherRole::isDispatcher(const ServiceName &Service) const {
  if (Suspended_ || Leaving_)
    return false;
  const membership::Member *Home = View_->home(homeKey(Service));
  return Home && Home->Name_ == Self_;
}

DispatcherRole::Term *DispatcherRole::term(const ServiceName &Service) {
  if (!isDispatcher(Service))
    return nullptr;
  const auto [At, Fresh] = Terms_.try_emplace(Service);
  if (!Fresh)
    return &At->second;
  At->second = {Time_.wallNow() + ClockBound, Time_.now(), false};
  const auto Received = Received_.find(Service);
  const bool Recent =
      Received != Received_.end() &&
      Time_.now() - Received->second.second < HandoverLeases * Lease_;
  if (Recent) {
    At->second.From_ = std::min(At->second.From_, Received->second.first);
    At->second.HandedOver_ = true;
  }
  return &At->second;
}

WallTime DispatcherRole::judgesFrom(const ServiceName &Service) {
  const Term *Own = term(Service);
  return Own ? Own->From_ : WallTime::max();
}

bool DispatcherRole::awaitsHandover(const ServiceName &Service) {
  const Term *Own = term(Service);
  if (!Own || Own->HandedOver_ || Time_.now() - Own->Began_ > Lease_)
    return false;
  return View_->homeWithout(homeKey(Service), Self_) != nullptr;
}

} // namespace medlarmoor::request
