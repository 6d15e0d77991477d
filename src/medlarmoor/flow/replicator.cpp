#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/chooser.hpp>
#include <medlarmoor/flow/replicator.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::flow {

namespace {

constexpr Nanos BatchPeriod = Seconds(1);
constexpr Nanos ClaimPeriod = Millis(250);
/// Unused budget may accumulate for this long.
constexpr double MaxSavedSeconds = 2;
/// Factor by which a change of home raises the budget.
constexpr double TransferFactor = 2;
/// Bytes of an update's envelope: UDP and IP headers, sender, signature.
constexpr double EnvelopeBytes = 110;
/// Share of the budget that counts may use.
constexpr double CountsBudgetShare = 0.5;
/// Bytes charged to the budget for one record of each kind.
constexpr double OverrideBytes = 8;
constexpr double EndedBytes = 6;
constexpr double CountBytes = 6;
/// Maximum number of records in one update, so that it fits into a datagram.
constexpr std::size_t RecordsPerUpdate = 120;
/// Maximum length of the queue of overrides, and of that of ended flows.
constexpr std::size_t MaxQueued = 65'536;
/// Maximum number of times that an override is relayed to a further home.
constexpr std::uint8_t MaxRelays = 4;
/// Maximum number of overrides kept until their service and upstream are known.
constexpr std::size_t MaxUnresolved = 4096;
/// A count is sent when it has changed by 1/CountDivisor of itself, or by
/// MinCountChange if that is more. A smaller change suffices when few
/// connections are left.
constexpr std::uint32_t CountDivisor = 16;
constexpr std::uint32_t MinCountChange = 4;

std::uint32_t distance(std::uint32_t A, std::uint32_t B) {
  return A > B ? A - B : B - A;
}

/// Returns true if the other homes need the upstream's new count. The fewer
/// connections are left, the smaller the change that suffices.
bool needsCountUpdate(const UpstreamState &Upstream, std::size_t HomeCount) {
  const std::uint32_t Change =
      distance(Upstream.LocalOpen_, Upstream.AnnouncedOpen_);
  if (Change == 0)
    return false;
  const std::uint32_t Limit = Upstream.Config_.Connections_;
  const std::uint32_t Room =
      Limit > Upstream.totalOpen() ? Limit - Upstream.totalOpen() : 0;
  const auto ByRoom = static_cast<std::uint32_t>(Room / (4 * HomeCount));
  const std::uint32_t BySize =
      std::max(MinCountChange, Upstream.LocalOpen_ / CountDivisor);
  return Change >= std::max(1U, std::min(ByRoom, BySize));
}

/// Records since when the upstream's connections have been scarce.
void updateScarcity(UpstreamState &Upstream, std::size_t HomeCount,
                    TimePoint Now) {
  const HomeShare Share{std::max<std::size_t>(HomeCount, 1), 0, {}, Now};
  if (!Share.scarce(Upstream.announcedRoom()))
    Upstream.ScarceSince_.reset();
  else if (!Upstream.ScarceSince_)
    Upstream.ScarceSince_ = Now;
}

bool isEmpty(const Update &Batch) { return Batch == Update(); }

std::uint32_t countKey(ServiceIndex Service, UpstreamIndex Upstream) {
  return (std::uint32_t{Service} << 16U) | Upstream;
}

/// Moves up to Max items from the front of From to the end of To.
template <typename T>
void moveFront(std::deque<T> &From, std::vector<T> &To, std::size_t Max) {
  const std::size_t Count = std::min(Max, From.size());
  To.insert(To.end(), From.begin(), From.begin() + static_cast<long>(Count));
  From.erase(From.begin(), From.begin() + static_cast<long>(Count));
}

/// Moves up to Max items from the end of From to the end of To.
template <typename T>
void moveBack(std::vector<T> &From, std::vector<T> &To, std::size_t Max) {
  const std::size_t Count = std::min(Max, From.size());
  To.insert(To.end(), From.end() - static_cast<long>(Count), From.end());
  From.resize(From.size() - Count);
}

} // namespace

Replicator::Replicator(ConnectionTracker &Tracker, HomeTracker &FlowHomes,
                       Random &Generator, std::uint32_t BytesPerSecond)
    : Tracker_(Tracker), Homes_(FlowHomes), Random_(Generator),
      Rate_(BytesPerSecond) {}

void Replicator::queue(FlowRecord &Record) {
  if (Record.has(FlowRecord::Queued) || Queue_.size() >= MaxQueued)
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
  Update Notice;
  Notice.Overrides_.push_back(wireOverride(Record));
  peer(Home->Name_).Link_.push(std::move(Notice));
}

void Replicator::queueEnded(const FlowRecord &Record) {
  if (Ended_.size() < MaxQueued)
    Ended_.push_back(Record.id().key());
}

void Replicator::leave() {
  LeaveStarted_ = true;
  startLeaveTransfers();
}

/// Starts a transfer, which ends with a leave notice, to each member that has
/// had none. Repeats it for a member that has begun or ceased since to take
/// over flows from this entry.
void Replicator::startLeaveTransfers() {
  for (const membership::Member &Target : Homes_.view().members()) {
    const bool TakesOver = Homes_.isGranted(Target.Name_);
    const auto [Notified, Inserted] =
        LeaveNotified_.try_emplace(Target.Name_, TakesOver);
    if (Homes_.isSelf(&Target) || (!Inserted && Notified->second == TakesOver))
      continue;
    Notified->second = TakesOver;
    Update Final;
    Final.Leave_ = LeaveNotice{Homes_.view().id(), TakesOver};
    startTransfer(Target.Name_, Final);
  }
}

bool Replicator::handedOver() const noexcept {
  return LeaveStarted_ &&
         std::all_of(Peers_.begin(), Peers_.end(), [](const auto &Item) {
           return !Item.second.Transfer_ && Item.second.Link_.idle();
         });
}

void Replicator::adoptView(bool Restarted) {
  for (auto &[Name, Remote] : Peers_)
    if (Restarted || Homes_.view().find(Name) == nullptr)
      discardCounts(Remote);
  std::erase_if(Peers_, [&](const auto &Item) {
    return Restarted || Homes_.view().find(Item.first) == nullptr;
  });
  if (LeaveStarted_)
    startLeaveTransfers();
  if (!Restarted)
    return;
  Queue_.clear();
  Ended_.clear();
  Unresolved_.clear();
}

void Replicator::adoptConfiguration(TimePoint Now) {
  std::erase_if(Unresolved_, [this, Now](const WireOverride &Received) {
    return applyOverride(Received, Now);
  });
}

void Replicator::receive(const EntryName &From, const Update &Received,
                         TimePoint Now) {
  Peer &Sender = peer(From);
  if (Received.Acknowledged_)
    Sender.Link_.onAcknowledged(*Received.Acknowledged_);
  if (Received.Position_ && !Sender.Link_.accept(*Received.Position_))
    return;
  for (const WireOverride &Override : Received.Overrides_) {
    if (Received.Position_)
      relay(From, Override, Received.Relays_);
    if (!applyOverride(Override, Now) && Unresolved_.size() < MaxUnresolved)
      Unresolved_.push_back(Override);
  }
  for (const WireFlow &Flow : Received.Ended_) {
    const std::optional<FlowId> Id = localFlow(Flow);
    FlowRecord *Known = Id ? Tracker_.table().find(*Id) : nullptr;
    if (Known != nullptr && Known->has(FlowRecord::Replica))
      Tracker_.erase(Known);
  }
  for (const WireCount &Count : Received.Counts_)
    applyCount(Sender, Count);
  if (Received.Leave_) {
    Homes_.onLeft(From, Received.Leave_->View_, Received.Leave_->ToReceiver_,
                  Now);
    forwardReplicas(From);
  }
  if (Received.Grant_)
    Homes_.onGranted(From, Received.Grant_->View_,
                     Received.Grant_->SenderJoining_, Now);
  if (Received.Claim_)
    grantTo(From, *Received.Claim_);
}

void Replicator::tick(TimePoint Now) {
  refill(Now);
  claim(Now);
  if (LeaveStarted_)
    startLeaveTransfers();
  for (auto &[Name, Remote] : Peers_)
    continueTransfer(Remote);
  if (Now - BatchedAt_ >= BatchPeriod)
    batch(Now);
}

std::vector<wire::Outgoing> Replicator::takeOutgoing(TimePoint Now) {
  for (auto &[Name, Remote] : Peers_) {
    for (Update &Due : Remote.Link_.takeDue(Now))
      send(Name, std::move(Due));
    const std::optional<StreamPosition> Position =
        Remote.Link_.takeAcknowledgement();
    if (!Position)
      continue;
    Update Acknowledgement;
    Acknowledgement.Acknowledged_ = Position;
    send(Name, std::move(Acknowledgement));
  }
  return std::exchange(Outgoing_, {});
}

Replicator::Peer &Replicator::peer(const EntryName &Name) {
  return Peers_.try_emplace(Name, Random_).first->second;
}

WireFlow Replicator::wireFlow(FlowId Id) {
  return {Tracker_.serviceOf(Id).wireId(), Id.Hash_};
}

WireOverride Replicator::wireOverride(const FlowRecord &Record) {
  return {wireFlow(Record.id()), Tracker_.upstreamOf(Record).WireId_};
}

std::optional<FlowId> Replicator::localFlow(const WireFlow &Flow) const {
  const std::optional<ServiceIndex> Service =
      Tracker_.services().findByWireId(Flow.Service_);
  if (!Service)
    return std::nullopt;
  return FlowId{*Service, Flow.Hash_ & FlowHashMask};
}

const membership::Member *Replicator::successorOf(FlowId Id) {
  const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
  const membership::Member *Home = Homes_.home(Id, Seed);
  if (Home == nullptr)
    return nullptr;
  return Homes_.homeWithout(Id, Seed, Home->Name_);
}

void Replicator::startTransfer(const EntryName &To, Update Final) {
  Transfer Started;
  Started.FinalUpdate_ = std::move(Final);
  Tracker_.table().forEach([&](FlowRecord &Record) {
    const FlowId Id = Record.id();
    const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
    const membership::Member *Home = Homes_.home(Id, Seed);
    if (Home == nullptr || Home->Name_ != To || !Tracker_.isOverride(Record))
      return;
    // A replica is transferred only if this entry would be the home without
    // To, disregarding that it may be leaving.
    if (!Record.has(FlowRecord::Replica) ||
        Homes_.isHomeWithout(*Home, Id, Seed))
      Started.Overrides_.push_back(wireOverride(Record));
  });
  for (std::size_t I = 0; I < Tracker_.services().size(); ++I) {
    const ServiceState &Service =
        Tracker_.services().at(static_cast<ServiceIndex>(I));
    for (const UpstreamState &Upstream : Service.upstreams())
      if (Upstream.AnnouncedOpen_ > 0)
        Started.Counts_.push_back(
            {Service.wireId(), Upstream.WireId_, Upstream.AnnouncedOpen_});
  }
  peer(To).Transfer_ = std::move(Started);
}

void Replicator::grantTo(const EntryName &To, ViewId ClaimedView) {
  const bool SameView = ClaimedView == Homes_.view().id();
  const bool MayGrant = Homes_.joining() || !Homes_.awaitsGrants();
  if (!SameView || !MayGrant || Homes_.leaving() || Homes_.suspended() ||
      peer(To).Transfer_)
    return;
  Homes_.grant(To);
  Update Final;
  Final.Grant_ = Grant{ClaimedView, Homes_.joining()};
  startTransfer(To, std::move(Final));
}

void Replicator::continueTransfer(Peer &To) {
  if (!To.Transfer_)
    return;
  Transfer &Remaining = *To.Transfer_;
  const auto HasMore = [&Remaining] {
    return !Remaining.Overrides_.empty() || !Remaining.Counts_.empty();
  };
  while (HasMore() && Tokens_ > 0) {
    Update Part;
    moveFront(Remaining.Overrides_, Part.Overrides_, RecordsPerUpdate);
    moveFront(Remaining.Counts_, Part.Counts_,
              RecordsPerUpdate - Part.Overrides_.size());
    const std::size_t Records = Part.Overrides_.size() + Part.Counts_.size();
    Tokens_ -= EnvelopeBytes + OverrideBytes * static_cast<double>(Records);
    To.Link_.push(std::move(Part));
  }
  if (HasMore())
    return;
  To.Link_.push(std::move(Remaining.FinalUpdate_));
  To.Transfer_.reset();
}

/// Keeps a received override as a replica. Returns false if its service or its
/// upstream is not known yet.
bool Replicator::applyOverride(const WireOverride &Received, TimePoint Now) {
  const std::optional<FlowId> Id = localFlow(Received.Flow_);
  if (!Id)
    return false;
  const std::optional<UpstreamIndex> Upstream =
      Tracker_.serviceOf(*Id).findByWireId(Received.Upstream_);
  if (!Upstream)
    return false;
  const FlowRecord *Known = Tracker_.table().find(*Id);
  const bool Own = Known != nullptr && !Known->has(FlowRecord::Replica);
  if (!Own) // A record that this entry made itself takes precedence.
    Tracker_.storeReplica(*Id, *Upstream, toStamp(Now));
  return true;
}

/// Relays an override that was handed off to this entry as the home of the flow
/// to the home in this entry's view.
void Replicator::relay(const EntryName &From, const WireOverride &Received,
                       std::uint8_t Relays) {
  const std::optional<FlowId> Id = localFlow(Received.Flow_);
  if (!Id || Relays >= MaxRelays)
    return;
  const membership::Member *Home =
      Homes_.home(*Id, Tracker_.serviceOf(*Id).seed());
  if (Home == nullptr || Homes_.isSelf(Home) || Home->Name_ == From)
    return;
  Update Relayed;
  Relayed.Relays_ = static_cast<std::uint8_t>(Relays + 1);
  Relayed.Overrides_.push_back(Received);
  peer(Home->Name_).Link_.push(std::move(Relayed));
}

/// Sends the replicas of flows whose home has left to their new home. This
/// entry may have handed off to that home before it learned of the departure,
/// and so without these flows.
void Replicator::forwardReplicas(const EntryName &FormerHome) {
  std::map<EntryName, std::deque<WireOverride>> ByHome;
  Tracker_.table().forEach([&](FlowRecord &Record) {
    const FlowId Id = Record.id();
    const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
    const membership::Member *Home = Homes_.home(Id, Seed);
    if (!Record.has(FlowRecord::Replica) || Home == nullptr ||
        Homes_.isSelf(Home))
      return;
    if (Homes_.wasHomeWithout(*Home, FormerHome, Id, Seed))
      ByHome[Home->Name_].push_back(wireOverride(Record));
  });
  for (auto &[Name, Overrides] : ByHome) {
    while (!Overrides.empty()) {
      Update Part;
      Part.Relays_ = 1;
      moveFront(Overrides, Part.Overrides_, RecordsPerUpdate);
      peer(Name).Link_.push(std::move(Part));
    }
  }
}

void Replicator::applyCount(Peer &From, const WireCount &Received) {
  const std::optional<ServiceIndex> Service =
      Tracker_.services().findByWireId(Received.Service_);
  if (!Service)
    return;
  const std::optional<UpstreamIndex> Upstream =
      Tracker_.services().at(*Service).findByWireId(Received.Upstream_);
  if (!Upstream)
    return;
  std::uint32_t &Known = From.Counts_[countKey(*Service, *Upstream)];
  UpstreamState &State =
      Tracker_.services().at(*Service).upstreams()[*Upstream];
  State.PeerOpen_ = State.PeerOpen_ - Known + Received.Open_;
  Known = Received.Open_;
}

void Replicator::discardCounts(Peer &From) {
  for (const auto &[Key, Open] : From.Counts_) {
    ServiceState &Service =
        Tracker_.services().at(static_cast<ServiceIndex>(Key >> 16U));
    Service.upstreams()[static_cast<UpstreamIndex>(Key)].PeerOpen_ -= Open;
  }
  From.Counts_.clear();
}

void Replicator::refill(TimePoint Now) {
  const bool Transferring =
      std::any_of(Peers_.begin(), Peers_.end(), [](const auto &Item) {
        return Item.second.Transfer_.has_value();
      });
  const double Rate = Transferring ? Rate_ * TransferFactor : Rate_;
  const double Elapsed =
      std::chrono::duration<double>(Now - RefilledAt_).count();
  RefilledAt_ = Now;
  Tokens_ = std::min(Tokens_ + Rate * std::min(Elapsed, MaxSavedSeconds),
                     Rate * MaxSavedSeconds);
}

void Replicator::claim(TimePoint Now) {
  if (Now - ClaimedAt_ < ClaimPeriod)
    return;
  ClaimedAt_ = Now;
  for (const EntryName &Target : Homes_.pendingClaims()) {
    Update Claim;
    Claim.Claim_ = Homes_.view().id();
    send(Target, std::move(Claim));
  }
}

void Replicator::batch(TimePoint Now) {
  BatchedAt_ = Now;
  if (Homes_.suspended())
    return;
  // Counts go first, with a share of the budget: without recent counts, homes
  // would refuse flows although connections are left.
  const double Available = Tokens_;
  Tokens_ = Available * CountsBudgetShare;
  batchCounts(Now);
  Tokens_ += Available * (1 - CountsBudgetShare);
  batchOverrides(Now);
  batchEnded();
  for (auto &[Name, Remote] : Peers_)
    sendBatch(Name, std::exchange(Remote.Batch_, {}));
}

void Replicator::sendBatch(const EntryName &To, Update Batch) {
  while (!isEmpty(Batch)) {
    Update Part;
    moveBack(Batch.Overrides_, Part.Overrides_, RecordsPerUpdate);
    moveBack(Batch.Ended_, Part.Ended_,
             RecordsPerUpdate - Part.Overrides_.size());
    moveBack(Batch.Counts_, Part.Counts_,
             RecordsPerUpdate - Part.Overrides_.size() - Part.Ended_.size());
    Tokens_ -= EnvelopeBytes;
    send(To, std::move(Part));
  }
}

void Replicator::batchOverrides(TimePoint Now) {
  const Stamp ReplicatedAt = toStamp(Now);
  while (!Queue_.empty() && Tokens_ > 0) {
    const FlowId Id = FlowId::fromKey(Queue_.front());
    Queue_.pop_front();
    FlowRecord *Record = Tracker_.table().find(Id);
    if (Record == nullptr)
      continue;
    Record->clear(FlowRecord::Queued);
    const membership::Member *Successor = successorOf(Id);
    if (!Record->open() || !Tracker_.isOverride(*Record) ||
        Successor == nullptr || Homes_.isSelf(Successor))
      continue;
    Record->set(FlowRecord::Replicated);
    Record->ReplicatedAt_ = ReplicatedAt;
    Record->ReplicatedTo_ =
        static_cast<std::uint16_t>(hashText(Successor->Name_.value()));
    peer(Successor->Name_).Batch_.Overrides_.push_back(wireOverride(*Record));
    Tokens_ -= OverrideBytes;
  }
}

void Replicator::batchEnded() {
  while (!Ended_.empty() && Tokens_ > 0) {
    const FlowId Id = FlowId::fromKey(Ended_.front());
    Ended_.pop_front();
    const membership::Member *Successor = successorOf(Id);
    if (Successor == nullptr || Homes_.isSelf(Successor))
      continue;
    peer(Successor->Name_).Batch_.Ended_.push_back(wireFlow(Id));
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
    for (UpstreamState &Upstream : Service.upstreams()) {
      updateScarcity(Upstream, Homes_.liveCount(), Now);
      if (!needsCountUpdate(Upstream, Homes_.liveCount()))
        continue;
      Upstream.AnnouncedOpen_ = Upstream.LocalOpen_;
      Tokens_ -= CountBytes * static_cast<double>(Others);
      for (const membership::Member &To : Homes_.view().members())
        if (!Homes_.isSelf(&To))
          peer(To.Name_).Batch_.Counts_.push_back(
              {Service.wireId(), Upstream.WireId_, Upstream.LocalOpen_});
    }
  }
}

void Replicator::send(const EntryName &To, Update Outgoing) {
  wire::FlowUpdate Encoded{Outgoing.encode()};
  BytesSent_ += Encoded.Bytes_.size();
  Outgoing_.push_back({To, std::move(Encoded)});
}

} // namespace medlarmoor::flow
