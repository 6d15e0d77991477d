#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/chooser.hpp>
#include <medlarmoor/flow/replicator.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::flow {

namespace {

constexpr Nanos BatchPeriod = Seconds(1);
constexpr Nanos ClaimPeriod = Millis(250);
/// Unused budget that may be kept, in seconds.
constexpr double KeptSeconds = 2;
/// What a change of home may use, as a multiple of the budget.
constexpr double TransferFactor = 2;
/// Bytes of an update's envelope: UDP and IP headers, sender, signature.
constexpr double EnvelopeBytes = 110;
/// Part of the budget that counts may use.
constexpr double CountsShare = 0.5;
constexpr double ExceptionBytes = 8;
constexpr double EndedBytes = 6;
constexpr double CountBytes = 6;
/// Records in one update, so that it fits a datagram.
constexpr std::size_t RecordsPerUpdate = 120;
constexpr std::size_t MostQueued = 65'536;
constexpr std::uint8_t MostRelays = 4;
constexpr std::size_t MostUnresolved = 4096;
/// A count is told when it has changed by this part of itself.
constexpr std::uint32_t CountDivisor = 16;
constexpr std::uint32_t LeastCountChange = 4;

std::uint32_t distance(std::uint32_t A, std::uint32_t B) {
  return A > B ? A - B : B - A;
}

/// True when the other homes should learn of the upstream's count: sooner the
/// fewer connections are left.
bool worthTelling(const UpstreamState &Each, std::size_t Homes) {
  const std::uint32_t Change = distance(Each.LocalOpen_, Each.AnnouncedOpen_);
  if (Change == 0)
    return false;
  const std::uint32_t Limit = Each.Config_.Connections_;
  const std::uint32_t Room =
      Limit > Each.totalOpen() ? Limit - Each.totalOpen() : 0;
  const auto ByRoom = static_cast<std::uint32_t>(Room / (4 * Homes));
  const std::uint32_t BySize =
      std::max(LeastCountChange, Each.LocalOpen_ / CountDivisor);
  return Change >= std::max(1U, std::min(ByRoom, BySize));
}

/// Remembers since when connections have been scarce.
void noteScarcity(UpstreamState &Each, std::size_t Homes, TimePoint Now) {
  const HomeShare Share{std::max<std::size_t>(Homes, 1), 0, {}, Now};
  if (!Share.scarce(Each.announcedRoom()))
    Each.ScarceSince_.reset();
  else if (!Each.ScarceSince_)
    Each.ScarceSince_ = Now;
}

bool empty(const Update &Each) { return Each == Update(); }

std::uint32_t countKey(ServiceIndex Service, UpstreamIndex Upstream) {
  return (std::uint32_t{Service} << 16U) | Upstream;
}

/// Moves up to Most items from the front of From to To.
template <typename T>
void moveFront(std::deque<T> &From, std::vector<T> &To, std::size_t Most) {
  const std::size_t Count = std::min(Most, From.size());
  To.insert(To.end(), From.begin(), From.begin() + static_cast<long>(Count));
  From.erase(From.begin(), From.begin() + static_cast<long>(Count));
}

/// Moves up to Most items from the back of From to To.
template <typename T>
void moveBack(std::vector<T> &From, std::vector<T> &To, std::size_t Most) {
  const std::size_t Count = std::min(Most, From.size());
  To.insert(To.end(), From.end() - static_cast<long>(Count), From.end());
  From.resize(From.size() - Count);
}

} // namespace

Replicator::Replicator(ConnectionTracker &Tracker, HomeTracker &Where,
                       Random &Generator, std::uint32_t BytesPerSecond)
    : Tracker_(Tracker), Homes_(Where), Random_(Generator),
      Rate_(BytesPerSecond) {}

void Replicator::queue(FlowRecord &Record) {
  if (Record.has(FlowRecord::Queued) || Queue_.size() >= MostQueued)
    return;
  Record.set(FlowRecord::Queued);
  Queue_.push_back(Record.id().key());
}

void Replicator::notifyHome(const FlowRecord &Record) {
  const FlowId Id = Record.id();
  const membership::Member *Home =
      Homes_.home(Id, Tracker_.serviceOf(Id).seed());
  if (Home == nullptr || Homes_.isSelf(Home))
    return;
  Update Told;
  Told.Exceptions_.push_back(wireException(Record));
  peer(Home->Name_).Link_.push(std::move(Told));
}

void Replicator::queueEnded(const FlowRecord &Record) {
  if (Ended_.size() < MostQueued)
    Ended_.push_back(Record.id().key());
}

void Replicator::leave() {
  LeaveStarted_ = true;
  leaveTo();
}

/// Hands over to each member that has not been handed what is its own.
void Replicator::leaveTo() {
  for (const membership::Member &Each : Homes_.view().members()) {
    const bool Heir = Homes_.isGranted(Each.Name_);
    const auto [Told, Fresh] = LeftTo_.try_emplace(Each.Name_, Heir);
    if (Homes_.isSelf(&Each) || (!Fresh && Told->second == Heir))
      continue;
    Told->second = Heir;
    Update Last;
    Last.Left_ = Leave{Homes_.view().id(), Heir};
    startTransfer(Each.Name_, Last);
  }
}

bool Replicator::handedOver() const noexcept {
  return LeaveStarted_ &&
         std::all_of(Peers_.begin(), Peers_.end(), [](const auto &Each) {
           return !Each.second.Transfer_ && Each.second.Link_.idle();
         });
}

void Replicator::adoptView(bool Anew) {
  for (auto &[Name, Each] : Peers_)
    if (Anew || Homes_.view().find(Name) == nullptr)
      forgetCounts(Each);
  std::erase_if(Peers_, [&](const auto &Each) {
    return Anew || Homes_.view().find(Each.first) == nullptr;
  });
  if (LeaveStarted_)
    leaveTo();
  if (!Anew)
    return;
  Queue_.clear();
  Ended_.clear();
  Unresolved_.clear();
}

void Replicator::adoptConfiguration(TimePoint Now) {
  std::erase_if(Unresolved_, [this, Now](const WireException &Each) {
    return takeException(Each, Now);
  });
}

void Replicator::receive(const EntryName &From, const Update &Told,
                         TimePoint Now) {
  Peer &Sender = peer(From);
  if (Told.Acknowledged_)
    Sender.Link_.acknowledged(*Told.Acknowledged_);
  if (Told.Place_ && !Sender.Link_.accept(*Told.Place_))
    return;
  for (const WireException &Each : Told.Exceptions_) {
    if (Told.Place_)
      relay(From, Each, Told.Relays_);
    if (!takeException(Each, Now) && Unresolved_.size() < MostUnresolved)
      Unresolved_.push_back(Each);
  }
  for (const WireFlow &Each : Told.Ended_) {
    const std::optional<FlowId> Id = localFlow(Each);
    FlowRecord *Known = Id ? Tracker_.table().find(*Id) : nullptr;
    if (Known != nullptr && Known->has(FlowRecord::Replica))
      Tracker_.erase(Known);
  }
  for (const WireCount &Each : Told.Counts_)
    takeCount(Sender, Each);
  if (Told.Left_) {
    Homes_.onLeft(From, Told.Left_->View_, Told.Left_->ToReceiver_, Now);
    passOnCopies(From);
  }
  if (Told.Grant_)
    Homes_.onGranted(From, Told.Grant_->View_, Told.Grant_->Joining_, Now);
  if (Told.Claim_)
    grantTo(From, *Told.Claim_);
}

void Replicator::tick(TimePoint Now) {
  refill(Now);
  claim(Now);
  if (LeaveStarted_)
    leaveTo();
  for (auto &[Name, Each] : Peers_)
    continueTransfer(Each);
  if (Now - BatchedAt_ >= BatchPeriod)
    batch(Now);
}

std::vector<wire::Outgoing> Replicator::takeOutgoing(TimePoint Now) {
  for (auto &[Name, Each] : Peers_) {
    for (Update &Due : Each.Link_.due(Now))
      send(Name, std::move(Due));
    const std::optional<StreamPlace> Owed = Each.Link_.takeAcknowledgement();
    if (!Owed)
      continue;
    Update Bare;
    Bare.Acknowledged_ = Owed;
    send(Name, std::move(Bare));
  }
  return std::exchange(Outgoing_, {});
}

Replicator::Peer &Replicator::peer(const EntryName &Name) {
  return Peers_.try_emplace(Name, Random_).first->second;
}

WireFlow Replicator::wireFlow(FlowId Id) {
  return {Tracker_.serviceOf(Id).wireId(), Id.Hash_};
}

WireException Replicator::wireException(const FlowRecord &Record) {
  return {wireFlow(Record.id()), Tracker_.upstreamOf(Record).WireId_};
}

std::optional<FlowId> Replicator::localFlow(const WireFlow &Flow) const {
  const std::optional<ServiceIndex> Service =
      Tracker_.services().findByWireId(Flow.Service_);
  if (!Service)
    return std::nullopt;
  return FlowId{*Service, Flow.Hash_ & FlowHashMask};
}

const membership::Member *Replicator::nextHome(FlowId Id) {
  const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
  const membership::Member *Home = Homes_.home(Id, Seed);
  if (Home == nullptr)
    return nullptr;
  return Homes_.homeWithout(Id, Seed, Home->Name_);
}

void Replicator::startTransfer(const EntryName &To, Update Last) {
  Transfer Out;
  Out.Last_ = std::move(Last);
  Tracker_.table().forEach([&](FlowRecord &Each) {
    const FlowId Id = Each.id();
    const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
    const membership::Member *Home = Homes_.home(Id, Seed);
    if (Home == nullptr || Home->Name_ != To || !Tracker_.isOverride(Each))
      return;
    // A copy goes along when this entry is, or was, the home but for To.
    if (!Each.has(FlowRecord::Replica) || Homes_.isHomeWithout(*Home, Id, Seed))
      Out.Exceptions_.push_back(wireException(Each));
  });
  for (std::size_t I = 0; I < Tracker_.services().size(); ++I) {
    const ServiceState &Service =
        Tracker_.services().at(static_cast<ServiceIndex>(I));
    for (const UpstreamState &Each : Service.upstreams())
      if (Each.AnnouncedOpen_ > 0)
        Out.Counts_.push_back(
            {Service.wireId(), Each.WireId_, Each.AnnouncedOpen_});
  }
  peer(To).Transfer_ = std::move(Out);
}

void Replicator::grantTo(const EntryName &To, ViewId Seen) {
  const bool SameView = Seen == Homes_.view().id();
  const bool Settled = Homes_.joining() || !Homes_.awaitsGrants();
  if (!SameView || !Settled || Homes_.leaving() || Homes_.suspended() ||
      peer(To).Transfer_)
    return;
  Homes_.grant(To);
  Update Last;
  Last.Grant_ = Grant{Seen, Homes_.joining()};
  startTransfer(To, std::move(Last));
}

void Replicator::continueTransfer(Peer &To) {
  if (!To.Transfer_)
    return;
  Transfer &Rest = *To.Transfer_;
  const auto More = [&Rest] {
    return !Rest.Exceptions_.empty() || !Rest.Counts_.empty();
  };
  while (More() && Tokens_ > 0) {
    Update Part;
    moveFront(Rest.Exceptions_, Part.Exceptions_, RecordsPerUpdate);
    moveFront(Rest.Counts_, Part.Counts_,
              RecordsPerUpdate - Part.Exceptions_.size());
    const std::size_t Records = Part.Exceptions_.size() + Part.Counts_.size();
    Tokens_ -= EnvelopeBytes + ExceptionBytes * static_cast<double>(Records);
    To.Link_.push(std::move(Part));
  }
  if (More())
    return;
  To.Link_.push(std::move(Rest.Last_));
  To.Transfer_.reset();
}

bool Replicator::takeException(const WireException &Told, TimePoint Now) {
  const std::optional<FlowId> Id = localFlow(Told.Flow_);
  if (!Id)
    return false;
  const std::optional<UpstreamIndex> Upstream =
      Tracker_.serviceOf(*Id).findByWireId(Told.Upstream_);
  if (!Upstream)
    return false;
  const FlowRecord *Known = Tracker_.table().find(*Id);
  const bool Own = Known != nullptr && !Known->has(FlowRecord::Replica);
  if (!Own) // what this entry has seen itself counts more
    Tracker_.storeReplica(*Id, *Upstream, toStamp(Now));
  return true;
}

/// What was handed over to this entry as the home of a flow goes on to the
/// home that this entry knows.
void Replicator::relay(const EntryName &From, const WireException &Told,
                       std::uint8_t Relays) {
  const std::optional<FlowId> Id = localFlow(Told.Flow_);
  if (!Id || Relays >= MostRelays)
    return;
  const membership::Member *Home =
      Homes_.home(*Id, Tracker_.serviceOf(*Id).seed());
  if (Home == nullptr || Homes_.isSelf(Home) || Home->Name_ == From)
    return;
  Update Next;
  Next.Relays_ = static_cast<std::uint8_t>(Relays + 1);
  Next.Exceptions_.push_back(Told);
  peer(Home->Name_).Link_.push(std::move(Next));
}

/// Flows of a home that has left may belong to one that this entry has handed
/// over to before it heard of that.
void Replicator::passOnCopies(const EntryName &Of) {
  std::map<EntryName, std::deque<WireException>> For;
  Tracker_.table().forEach([&](FlowRecord &Each) {
    const FlowId Id = Each.id();
    const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
    const membership::Member *Home = Homes_.home(Id, Seed);
    if (!Each.has(FlowRecord::Replica) || Home == nullptr ||
        Homes_.isSelf(Home))
      return;
    if (Homes_.wasHomeWithout(*Home, Of, Id, Seed))
      For[Home->Name_].push_back(wireException(Each));
  });
  for (auto &[Name, Exceptions] : For) {
    while (!Exceptions.empty()) {
      Update Part;
      Part.Relays_ = 1;
      moveFront(Exceptions, Part.Exceptions_, RecordsPerUpdate);
      peer(Name).Link_.push(std::move(Part));
    }
  }
}

void Replicator::takeCount(Peer &From, const WireCount &Told) {
  const std::optional<ServiceIndex> Service =
      Tracker_.services().findByWireId(Told.Service_);
  if (!Service)
    return;
  const std::optional<UpstreamIndex> Upstream =
      Tracker_.services().at(*Service).findByWireId(Told.Upstream_);
  if (!Upstream)
    return;
  std::uint32_t &Known = From.Counts_[countKey(*Service, *Upstream)];
  UpstreamState &Of = Tracker_.services().at(*Service).upstreams()[*Upstream];
  Of.PeerOpen_ = Of.PeerOpen_ - Known + Told.Open_;
  Known = Told.Open_;
}

void Replicator::forgetCounts(Peer &From) {
  for (const auto &[Key, Open] : From.Counts_) {
    ServiceState &Service =
        Tracker_.services().at(static_cast<ServiceIndex>(Key >> 16U));
    Service.upstreams()[static_cast<UpstreamIndex>(Key)].PeerOpen_ -= Open;
  }
  From.Counts_.clear();
}

void Replicator::refill(TimePoint Now) {
  const bool Changing =
      std::any_of(Peers_.begin(), Peers_.end(), [](const auto &Each) {
        return Each.second.Transfer_.has_value();
      });
  const double Rate = Changing ? Rate_ * TransferFactor : Rate_;
  const double Passed =
      std::chrono::duration<double>(Now - RefilledAt_).count();
  RefilledAt_ = Now;
  Tokens_ = std::min(Tokens_ + Rate * std::min(Passed, KeptSeconds),
                     Rate * KeptSeconds);
}

void Replicator::claim(TimePoint Now) {
  if (Now - ClaimedAt_ < ClaimPeriod)
    return;
  ClaimedAt_ = Now;
  for (const EntryName &Each : Homes_.pendingClaims()) {
    Update Asked;
    Asked.Claim_ = Homes_.view().id();
    send(Each, std::move(Asked));
  }
}

void Replicator::batch(TimePoint Now) {
  BatchedAt_ = Now;
  if (Homes_.suspended())
    return;
  // Counts go first, with a part of the budget: without them homes would
  // refuse flows that there is room for.
  const double Whole = Tokens_;
  Tokens_ = Whole * CountsShare;
  batchCounts(Now);
  Tokens_ += Whole * (1 - CountsShare);
  batchExceptions(Now);
  batchEnded();
  for (auto &[Name, Each] : Peers_)
    sendBatch(Name, std::exchange(Each.Next_, {}));
}

void Replicator::sendBatch(const EntryName &To, Update Batch) {
  while (!empty(Batch)) {
    Update Part;
    moveBack(Batch.Exceptions_, Part.Exceptions_, RecordsPerUpdate);
    moveBack(Batch.Ended_, Part.Ended_,
             RecordsPerUpdate - Part.Exceptions_.size());
    moveBack(Batch.Counts_, Part.Counts_,
             RecordsPerUpdate - Part.Exceptions_.size() - Part.Ended_.size());
    Tokens_ -= EnvelopeBytes;
    send(To, std::move(Part));
  }
}

void Replicator::batchExceptions(TimePoint Now) {
  const Stamp At = toStamp(Now);
  while (!Queue_.empty() && Tokens_ > 0) {
    const FlowId Id = FlowId::fromKey(Queue_.front());
    Queue_.pop_front();
    FlowRecord *Record = Tracker_.table().find(Id);
    if (Record == nullptr)
      continue;
    Record->clear(FlowRecord::Queued);
    const membership::Member *Next = nextHome(Id);
    if (!Record->open() || !Tracker_.isOverride(*Record) || Next == nullptr ||
        Homes_.isSelf(Next))
      continue;
    Record->set(FlowRecord::Replicated);
    Record->ReplicatedAt_ = At;
    Record->ReplicatedTo_ =
        static_cast<std::uint16_t>(hashText(Next->Name_.value()));
    peer(Next->Name_).Next_.Exceptions_.push_back(wireException(*Record));
    Tokens_ -= ExceptionBytes;
  }
}

void Replicator::batchEnded() {
  while (!Ended_.empty() && Tokens_ > 0) {
    const FlowId Id = FlowId::fromKey(Ended_.front());
    Ended_.pop_front();
    const membership::Member *Next = nextHome(Id);
    if (Next == nullptr || Homes_.isSelf(Next))
      continue;
    peer(Next->Name_).Next_.Ended_.push_back(wireFlow(Id));
    Tokens_ -= EndedBytes;
  }
}

void Replicator::batchCounts(TimePoint Now) {
  const std::size_t Services = Tracker_.services().size();
  const std::size_t Others = Homes_.view().members().size() - 1;
  for (std::size_t I = 0; I < Services && Tokens_ > 0; ++I) {
    CountCursor_ = (CountCursor_ + 1) % Services;
    ServiceState &Service =
        Tracker_.services().at(static_cast<ServiceIndex>(CountCursor_));
    for (UpstreamState &Each : Service.upstreams()) {
      noteScarcity(Each, Homes_.liveCount(), Now);
      if (!worthTelling(Each, Homes_.liveCount()))
        continue;
      Each.AnnouncedOpen_ = Each.LocalOpen_;
      Tokens_ -= CountBytes * static_cast<double>(Others);
      for (const membership::Member &To : Homes_.view().members())
        if (!Homes_.isSelf(&To))
          peer(To.Name_).Next_.Counts_.push_back(
              {Service.wireId(), Each.WireId_, Each.LocalOpen_});
    }
  }
}

void Replicator::send(const EntryName &To, Update Out) {
  wire::FlowUpdate Packed{Out.encode()};
  BytesSent_ += Packed.Bytes_.size();
  Outgoing_.push_back({To, std::move(Packed)});
}

} // namespace medlarmoor::flow
