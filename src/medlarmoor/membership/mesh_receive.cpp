#include <medlarmoor/membership/mesh.hpp>

#include <algorithm>
#include <iterator>

namespace medlarmoor::membership {

namespace {

using wire::Phase;

/// Minimum and maximum interval between two table requests while two views
/// differ. The interval doubles with each request.
constexpr Nanos MinTableBackoff = Seconds(2);
constexpr Nanos MaxTableBackoff = Seconds(60);

} // namespace

void Mesh::receive(const wire::Incoming &Received,
                   const wire::Heartbeat &Message, Actions &NewActions) {
  applyUpdate({Received.From_, Message.Address_, Received.Incarnation_,
               Message.Generation_, Message.Phase_},
              NewActions);
  Peer *Sender = Peers_.find(Received.From_);
  if (!Sender)
    return;
  if (Sender->Run_ != Received.Incarnation_) {
    std::ranges::move(onStaleRun(Received.From_),
                      std::back_inserter(NewActions));
    return;
  }
  const bool ReportedDead = Sender->SuspectedSince_ || !Sender->active();
  if (ReportedDead) {
    // The sender is alive but may not know that others suspect it or consider
    // it gone. It has to learn this in order to refute it.
    wire::Heartbeat Reply = heartbeat(0);
    Reply.Updates_ = {Sender->toUpdate()};
    NewActions.emplace_back(Send{{Message.Address_}, std::move(Reply)});
  }
  if (Sender->active())
    Peers_.markHeard(*Sender, Time_.now());
  for (const wire::MemberUpdate &Update : Message.Updates_)
    applyUpdate(Update, NewActions);
  if (Message.Phase_ == Phase::Live)
    compareViews(*Sender, Message.View_, NewActions);
}

void Mesh::receive(const wire::Incoming &Received, const wire::LeaveNotice &,
                   Actions &NewActions) {
  const Peer *Sender = Peers_.find(Received.From_);
  if (!Sender || Sender->Run_ != Received.Incarnation_)
    return;
  wire::MemberUpdate Update = Sender->toUpdate();
  Update.Phase_ = Phase::Gone;
  applyUpdate(Update, NewActions);
}

void Mesh::receive(const wire::Incoming &Received, const wire::TableRequest &,
                   Actions &NewActions) {
  const Peer *Sender = Peers_.find(Received.From_);
  if (!Sender || !Sender->active())
    return;
  std::vector<wire::MemberUpdate> Updates{ownUpdate()};
  for (const auto &[Name, Known] : Peers_.peers())
    if (Known.active())
      Updates.push_back(Known.toUpdate());
  for (std::size_t Begin = 0; Begin < Updates.size();
       Begin += wire::MaxMemberUpdates) {
    const std::size_t End =
        std::min(Updates.size(), Begin + wire::MaxMemberUpdates);
    NewActions.emplace_back(
        Send{{Sender->Address_},
             wire::MemberTable{
                 {Updates.begin() + static_cast<std::ptrdiff_t>(Begin),
                  Updates.begin() + static_cast<std::ptrdiff_t>(End)}}});
  }
}

void Mesh::receive(const wire::Incoming &, const wire::MemberTable &Message,
                   Actions &NewActions) {
  HasMemberTable_ = true;
  for (const wire::MemberUpdate &Update : Message.Members_)
    applyUpdate(Update, NewActions);
}

void Mesh::applyUpdate(const wire::MemberUpdate &Update, Actions &NewActions) {
  if (Update.Name_ == Self_)
    return applyUpdateAboutSelf(Update, NewActions);
  switch (Peers_.apply(Update, Time_.now())) {
  case ApplyResult::New:
    break;
  case ApplyResult::Stale:
  case ApplyResult::Known:
  case ApplyResult::Full:
    return;
  }
  Gossip_.add(Update.Name_, Peers_.active());
  UrgentPending_ = true;
  markMembersChanged();
  if (Lifecycle_.state() == EntryState::Starting && Lifecycle_.contacted())
    JoiningSince_ = Time_.now();
}

void Mesh::applyUpdateAboutSelf(const wire::MemberUpdate &Update,
                                Actions &NewActions) {
  if (Update.Incarnation_ < Run_)
    return;
  // An earlier run under this name had a clock that was ahead.
  if (Update.Incarnation_ > Run_)
    return changeIncarnation(Incarnation(Update.Incarnation_.value() + 1),
                             NewActions);
  const bool ReportedDead =
      Update.Phase_ == Phase::Suspected || Update.Phase_ == Phase::Gone;
  if (!ReportedDead || Update.Generation_ < Generation_)
    return;
  Generation_ = Update.Generation_ + 1;
  UrgentPending_ = true;
  Gossip_.add(Self_, Peers_.active());
}

/// Requests the sender's member table if the views differ for longer than
/// updates need to spread.
void Mesh::compareViews(const Peer &Sender, ViewId SenderView,
                        Actions &NewActions) {
  if (SenderView == View_->id()) {
    TableBackoff_ = MinTableBackoff;
    return;
  }
  const TimePoint Now = Time_.now();
  TableBackoff_ = std::max(TableBackoff_, MinTableBackoff);
  if (Now - ViewChangedAt_ < MinTableBackoff || Now < NextTableRequest_)
    return;
  NextTableRequest_ = Now + TableBackoff_;
  TableBackoff_ = std::min(2 * TableBackoff_, MaxTableBackoff);
  NewActions.emplace_back(Send{{Sender.Address_}, wire::TableRequest{}});
}

void Mesh::requestTable(Actions &NewActions) {
  std::vector<Ipv4> Addresses;
  for (const auto &[Name, Known] : Peers_.peers())
    if (Known.isMember())
      Addresses.push_back(Known.Address_);
  NextTableRequest_ = Time_.now() + Timing_.Lease_ / 2;
  NewActions.emplace_back(
      Send{{Addresses[Source_() % Addresses.size()]}, wire::TableRequest{}});
}

} // namespace medlarmoor::membership
