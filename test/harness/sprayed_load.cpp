#include <harness/sprayed_load.hpp>

#include <algorithm>

namespace medlarmoor::harness {

namespace {

constexpr std::uint32_t CallerNetwork = 0x0A000000; // 10.0.0.0
constexpr std::uint16_t FirstPort = 1024;
constexpr std::uint32_t PortsPerCaller = 50'000;

Endpoint callerOf(std::uint64_t Number) {
  const auto Low = static_cast<std::uint32_t>(Number);
  return {Ipv4(CallerNetwork + Low / PortsPerCaller),
          static_cast<std::uint16_t>(FirstPort + Low % PortsPerCaller)};
}

} // namespace

SprayedLoad::SprayedLoad(LoadShape Shape, std::uint64_t Seed, Carrier Carry,
                         Spray Over)
    : Shape_(Shape), Random_(Seed), Carry_(std::move(Carry)),
      Over_(std::move(Over)) {}

void SprayedLoad::document(const config::Environment &Document) {
  Targets_.clear();
  for (const config::Service &Each : Document.Services_) {
    Target Made{Each.Addresses_.front(), {}, 0};
    for (const config::Upstream &One : Each.Upstreams_) {
      ServiceOf_[One.Packets_] = Targets_.size();
      Made.Limit_ = One.Connections_;
      if (!One.Drain_)
        Made.Upstreams_.push_back(One.Packets_);
    }
    Targets_.push_back(std::move(Made));
  }
}

void SprayedLoad::fill(std::size_t Count, TimePoint Now) {
  for (std::size_t I = 0; I < Count; ++I)
    openFlow(Now);
  NextOpen_ = Now + draw(1 / Shape_.Opens_);
}

void SprayedLoad::advance(TimePoint Now) {
  while (true) {
    const bool Opens = NextOpen_ <= Now;
    const bool Sends = !Due_.empty() && Due_.top().When_ <= Now;
    if (!Opens && !Sends)
      return;
    if (Opens && (!Sends || NextOpen_ <= Due_.top().When_)) {
      openFlow(NextOpen_);
      NextOpen_ += draw(1 / Shape_.Opens_);
      continue;
    }
    const Due Next = Due_.top();
    Due_.pop();
    sendDue(Next);
  }
}

void SprayedLoad::touchAll(TimePoint) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Each] : Flows_)
    Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  for (const std::uint64_t Id : Ids)
    judge(Flows_[Id], carry(Flows_[Id], Ack));
}

double SprayedLoad::imbalance(std::size_t Service) const {
  const Target &Of = Targets_[Service];
  double Most = 0;
  double Sum = 0;
  for (const Endpoint &Each : Of.Upstreams_) {
    const auto At = OpenAt_.find(Each);
    const double Open = At == OpenAt_.end() ? 0 : At->second;
    Most = std::max(Most, Open);
    Sum += Open;
  }
  return Sum == 0 ? 1 : Most * static_cast<double>(Of.Upstreams_.size()) / Sum;
}

Nanos SprayedLoad::draw(double MeanSeconds) {
  std::exponential_distribution<double> Distribution(1 / MeanSeconds);
  return std::chrono::duration_cast<Nanos>(
      std::chrono::duration<double>(Distribution(Random_)));
}

std::size_t SprayedLoad::drawEntry() {
  const std::vector<std::size_t> Over = Over_();
  return Over[Random_() % Over.size()];
}

void SprayedLoad::openFlow(TimePoint When) {
  Flow Fresh;
  Fresh.From_ = callerOf(Made_);
  // Upstreams share the load evenly, so a service draws by its upstreams.
  std::size_t All = 0;
  for (const Target &Each : Targets_)
    All += Each.Upstreams_.size();
  std::size_t Ticket = Random_() % All;
  while (Ticket >= Targets_[Fresh.Service_].Upstreams_.size())
    Ticket -= Targets_[Fresh.Service_++].Upstreams_.size();
  Fresh.Ends_ = When + draw(Shape_.LifeSeconds_);
  const Delivery First = carry(Fresh, Syn);
  if (First.Kind_ == Delivery::Kind::Refused)
    ++Figures_.Refused_;
  ++Made_;
  if (First.Kind_ != Delivery::Kind::Upstream)
    return;
  ++Figures_.Opened_;
  Figures_.LateOpens_ += Closed_.contains(First.Upstream_) ? 1 : 0;
  Fresh.Upstream_ = First.Upstream_;
  judge(Fresh, carry(Fresh, Ack));
  if (++OpenAt_[Fresh.Upstream_] > Targets_[Fresh.Service_].Limit_)
    ++Figures_.OverLimit_;
  Flows_[Made_] = Fresh;
  Due_.push({std::min(When + draw(Shape_.PacketSeconds_), Fresh.Ends_), Made_});
}

void SprayedLoad::sendDue(const Due &Next) {
  const auto At = Flows_.find(Next.Flow_);
  if (At == Flows_.end())
    return;
  Flow &Each = At->second;
  const bool Last = Next.When_ >= Each.Ends_;
  const Delivery Got = carry(Each, Last ? Fin : Ack);
  judge(Each, Got);
  const bool Repeat = Got.Kind_ == Delivery::Kind::Lost;
  if (Each.Broken_ || (Last && !Repeat)) {
    end(Next.Flow_);
    return;
  }
  // A lost packet is repeated after a second.
  const TimePoint Then =
      Repeat ? Next.When_ + Seconds(1)
             : std::min(Next.When_ + draw(Shape_.PacketSeconds_), Each.Ends_);
  Due_.push({Then, Next.Flow_});
}

Delivery SprayedLoad::carry(const Flow &Each, Flags Set) {
  const Delivery Out =
      Carry_(drawEntry(), Each.From_, Targets_[Each.Service_].Address_, Set);
  ++Figures_.Packets_;
  switch (Out.Kind_) {
  case Delivery::Kind::Lost:
    ++Figures_.Lost_;
    break;
  case Delivery::Kind::Dropped:
    ++Figures_.Dropped_;
    break;
  case Delivery::Kind::Refused:
    break;
  case Delivery::Kind::Upstream:
    Figures_.Handled_ += Out.Entries_;
    const auto At = ServiceOf_.find(Out.Upstream_);
    if (At == ServiceOf_.end() || At->second != Each.Service_)
      ++Figures_.Misrouted_;
    break;
  }
  return Out;
}

void SprayedLoad::judge(Flow &Each, const Delivery &Got) {
  const bool Elsewhere =
      Got.Kind_ == Delivery::Kind::Upstream && Got.Upstream_ != Each.Upstream_;
  if (Each.Broken_ || (!Elsewhere && Got.Kind_ != Delivery::Kind::Refused))
    return;
  Each.Broken_ = true;
  ++Figures_.Broken_;
}

void SprayedLoad::end(std::uint64_t Id) {
  --OpenAt_[Flows_[Id].Upstream_];
  Flows_.erase(Id);
}

} // namespace medlarmoor::harness
