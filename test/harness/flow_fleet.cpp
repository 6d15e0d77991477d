#include <harness/flow_fleet.hpp>

#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/core/overloaded.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlarmoor::harness {

namespace {

constexpr std::uint32_t EntryNetwork = 0x7F0A0000;    // 127.10.0.0
constexpr std::uint32_t UpstreamNetwork = 0x7F0B0000; // 127.11.0.0
constexpr std::uint32_t ServiceNetwork = 0xC0000200;  // 192.0.2.0
constexpr std::uint16_t ServicePort = 443;
constexpr std::uint16_t PacketsPort = 7200;
/// Packets that wait at a paused entry; its socket holds no more.
constexpr std::size_t SocketPackets = 4096;
constexpr std::size_t KeyBytes = 32;
/// IPv4 and UDP headers.
constexpr std::size_t HeaderBytes = 28;

} // namespace

FlowFleet::FlowFleet(config::Settings Base, std::uint64_t Seed)
    : Base_(std::move(Base)), Seed_(Seed) {
  Base_.Domain_ = fleetDomain();
}

EntryName FlowFleet::nameOf(std::size_t Index) const {
  return EntryName("entry-" + std::to_string(Index));
}

std::size_t FlowFleet::add() {
  const std::size_t Index = Entries_.size();
  config::Settings Told = Base_;
  Told.Name_ = nameOf(Index);
  Told.Address_ = Ipv4(EntryNetwork + static_cast<std::uint32_t>(Index) + 1);
  Entries_.emplace_back();
  Entry &Fresh = Entries_.back();
  Fresh.Address_ = Told.Address_;
  Fresh.Director_ = std::make_unique<flow::Director>(Told, Clock(Clock_),
                                                     Random(mix(Seed_, Index)));
  Fresh.Director_->readClock();
  const config::SharedKey Key{1, std::vector<std::byte>(KeyBytes)};
  Fresh.Sealer_ = std::make_unique<wire::Sealer>(
      Told.Name_, Incarnation(Index), wire::KeyRing({Key}), Clock(Clock_));
  if (Document_)
    Fresh.Director_->adopt(*Document_);
  return Index;
}

void FlowFleet::wake(std::size_t Index) {
  Entry &Woken = at(Index);
  Woken.Paused_ = false;
  Woken.Director_->readClock();
  for (const wire::Incoming &Each : std::exchange(Woken.Messages_, {}))
    Woken.Director_->receive(Each);
  for (Waiting &Each : std::exchange(Woken.Packets_, {}))
    follow(Index, std::move(Each));
}

void FlowFleet::cut(std::size_t A, std::size_t B, bool Lost) {
  for (const auto &Way : {std::pair(A, B), std::pair(B, A)}) {
    if (Lost)
      Cut_.insert(Way);
    else
      Cut_.erase(Way);
  }
}

void FlowFleet::show(std::size_t Index, const std::set<std::size_t> &Members,
                     const std::set<std::size_t> &Leaving) {
  using membership::MemberState;
  std::vector<membership::Member> Out;
  Out.reserve(Members.size());
  for (const std::size_t Each : Members)
    Out.push_back(
        {nameOf(Each), at(Each).Address_,
         Leaving.contains(Each) ? MemberState::Leaving : MemberState::Live});
  if (serves(Index))
    at(Index).Director_->adopt(membership::View(nameOf(Index), Out));
}

void FlowFleet::showAll() {
  std::set<std::size_t> Members;
  for (std::size_t I = 0; I < size(); ++I)
    if (serves(I))
      Members.insert(I);
  for (const std::size_t Each : Members)
    show(Each, Members);
}

void FlowFleet::document(const config::ActiveConfigPtr &Next) {
  Document_ = Next;
  for (std::size_t I = 0; I < size(); ++I)
    document(I, Next);
}

void FlowFleet::document(std::size_t Index,
                         const config::ActiveConfigPtr &Next) {
  if (serves(Index))
    at(Index).Director_->adopt(*Next);
}

void FlowFleet::schedule(Nanos In, std::function<void()> What) {
  Events_.emplace(now() + In, std::move(What));
}

void FlowFleet::step() {
  Clock_->advance(Step);
  deliver();
  while (!Events_.empty() && Events_.begin()->first <= now()) {
    const auto Next = Events_.extract(Events_.begin());
    Next.mapped()();
  }
  for (std::size_t I = 0; I < size(); ++I) {
    if (!serves(I))
      continue;
    at(I).Director_->tick();
    post(I);
  }
}

void FlowFleet::run(Nanos Span) {
  for (const TimePoint End = now() + Span; now() < End;)
    step();
}

void FlowFleet::post(std::size_t From) {
  for (wire::Outgoing &Each : at(From).Director_->takeOutgoing()) {
    const std::size_t To = indexOf(*Each.To_);
    ++at(From).Sent_.Messages_;
    at(From).Sent_.Bytes_ +=
        at(From).Sealer_->seal(Each.Message_).size() + HeaderBytes;
    if (To == size() || !at(To).Alive_ || Cut_.contains({From, To}))
      continue;
    at(To).Messages_.push_back(
        {nameOf(From), std::move(Each.Message_), Incarnation(From)});
  }
}

void FlowFleet::deliver() {
  for (std::size_t I = 0; I < size(); ++I) {
    if (!serves(I))
      continue;
    at(I).Director_->readClock();
    for (const wire::Incoming &Each : std::exchange(at(I).Messages_, {}))
      at(I).Director_->receive(Each);
  }
}

std::size_t FlowFleet::indexOf(Ipv4 Address) const {
  for (std::size_t I = 0; I < size(); ++I)
    if (Entries_[I].Address_ == Address)
      return I;
  return size();
}

std::size_t FlowFleet::indexOf(const EntryName &Name) const {
  for (std::size_t I = 0; I < size(); ++I)
    if (nameOf(I) == Name)
      return I;
  return size();
}

Delivery FlowFleet::send(std::size_t Index, Endpoint From, Endpoint To,
                         Flags Set) {
  return follow(Index, {buildPacket(From, To, Set), false, {}, {}});
}

Delivery FlowFleet::follow(std::size_t Index, Waiting Packet) {
  Delivery Out;
  while (Index != size() && at(Index).Alive_) {
    Entry &Here = at(Index);
    if (Here.Paused_) {
      if (Here.Packets_.size() < SocketPackets)
        Here.Packets_.push_back(std::move(Packet));
      return Out;
    }
    ++Out.Entries_;
    Here.Director_->readClock();
    const flow::PreparedPacket Seen = Here.Director_->prepare(Packet.Inner_);
    const flow::Decision Made =
        Packet.FromEntry_
            ? Here.Director_->decide(Seen, Packet.Header_, Packet.From_)
            : Here.Director_->decide(Seen);
    const auto *Passed = std::get_if<flow::ToEntry>(&Made);
    if (Passed != nullptr) {
      Packet.FromEntry_ = true;
      Packet.Header_ = Passed->Header_;
      Packet.From_ = Here.Address_;
      Index = indexOf(Passed->To_);
      continue;
    }
    std::visit(
        Overloaded{
            [&](const flow::ToUpstream &Each) {
              Out.Kind_ = Delivery::Kind::Upstream;
              Out.Upstream_ = Each.To_;
            },
            [&](const flow::Refuse &) { Out.Kind_ = Delivery::Kind::Refused; },
            [&](const flow::Drop &Each) {
              Out.Kind_ = Delivery::Kind::Dropped;
              Out.Reason_ = Each.Reason_;
            },
            [](const flow::ToEntry &) {},
        },
        Made);
    return Out;
  }
  return Out;
}

DocumentBuilder &DocumentBuilder::service(const std::string &Name,
                                          int Upstreams, double Epsilon,
                                          std::uint32_t Connections) {
  if (Environment_.Domains_.empty())
    Environment_.Domains_.push_back({fleetDomain(), RegionName("test")});
  const std::size_t Index = Environment_.Services_.size();
  config::Service Made;
  Made.Name_ = ServiceName(Name);
  Made.Addresses_ = {
      {Ipv4(ServiceNetwork + static_cast<std::uint32_t>(Index)), ServicePort}};
  Made.Policy_.Epsilon_ = Epsilon;
  Environment_.Services_.push_back(std::move(Made));
  for (int I = 0; I < Upstreams; ++I)
    at(Index).Upstreams_.push_back(fresh(Index, Connections));
  return *this;
}

config::Upstream DocumentBuilder::fresh(std::size_t Service,
                                        std::uint32_t Connections) {
  config::Upstream Out;
  Out.Name_ =
      UpstreamName(at(Service).Name_.value() + "-" + std::to_string(Made_));
  Out.Domain_ = fleetDomain();
  Out.Packets_ = {Ipv4(UpstreamNetwork + ++Made_), PacketsPort};
  Out.Connections_ = Connections;
  return Out;
}

config::ActiveConfigPtr DocumentBuilder::build() {
  return std::make_shared<config::ActiveConfig>(
      config::ActiveConfig{ConfigVersion(++Version_), Environment_});
}

DomainName fleetDomain() { return DomainName("seeb"); }

} // namespace medlarmoor::harness
