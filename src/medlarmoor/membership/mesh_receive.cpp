#include <medlarmoor/membership/mesh.hpp>

#include <algorithm>
#include <iterator>

namespace medlarmoor::membership {

namespace {

using wire::Phase;

/// While two views differ the table is asked for in steps of this to that.
constexpr Nanos FirstTableBackoff = Seconds(2);
constexpr Nanos LongestTableBackoff = Seconds(60);

} // namespace

void Mesh::receive(const wire::Incoming &From, const wire::Heartbeat &Each,
                   Actions &Out) {
  learn({From.From_, Each.Address_, From.Incarnation_, Each.Generation_,
         Each.Phase_},
        Out);
  Peer *Sender = Peers_.find(From.From_);
  if (!Sender)
    return;
  if (Sender->Run_ != From.Incarnation_) {
    std::ranges::move(onStaleRun(From.From_), std::back_inserter(Out));
    return;
  }
  const bool Accused = Sender->Suspected_ || !Sender->active();
  if (Accused) {
    // It lives but may not know what is said of it, which it has to refute.
    wire::Heartbeat Answer = heartbeat(0);
    Answer.News_ = {Sender->news()};
    Out.emplace_back(Send{{Each.Address_}, std::move(Answer)});
  }
  if (Sender->active())
    Peers_.heard(*Sender, Time_.now());
  for (const wire::MemberNews &Fact : Each.News_)
    learn(Fact, Out);
  if (Each.Phase_ == Phase::Live)
    compareViews(*Sender, Each.View_, Out);
}

void Mesh::receive(const wire::Incoming &From, const wire::Farewell &,
                   Actions &Out) {
  const Peer *Sender = Peers_.find(From.From_);
  if (!Sender || Sender->Run_ != From.Incarnation_)
    return;
  wire::MemberNews Fact = Sender->news();
  Fact.Phase_ = Phase::Gone;
  learn(Fact, Out);
}

void Mesh::receive(const wire::Incoming &From, const wire::TableRequest &,
                   Actions &Out) {
  const Peer *Sender = Peers_.find(From.From_);
  if (!Sender || !Sender->active())
    return;
  std::vector<wire::MemberNews> All{ownNews()};
  for (const auto &[Name, Each] : Peers_.peers())
    if (Each.active())
      All.push_back(Each.news());
  for (std::size_t At = 0; At < All.size(); At += wire::MaxNews) {
    const std::size_t End = std::min(All.size(), At + wire::MaxNews);
    Out.emplace_back(Send{
        {Sender->Address_},
        wire::MemberTable{{All.begin() + static_cast<std::ptrdiff_t>(At),
                           All.begin() + static_cast<std::ptrdiff_t>(End)}}});
  }
}

void Mesh::receive(const wire::Incoming &, const wire::MemberTable &Each,
                   Actions &Out) {
  HasTable_ = true;
  for (const wire::MemberNews &Fact : Each.Members_)
    learn(Fact, Out);
}

void Mesh::learn(const wire::MemberNews &Fact, Actions &Out) {
  if (Fact.Name_ == Self_)
    return learnOfSelf(Fact, Out);
  switch (Peers_.apply(Fact, Time_.now())) {
  case Verdict::New:
    break;
  case Verdict::Stale:
  case Verdict::Known:
  case Verdict::Full:
    return;
  }
  Gossip_.add(Fact.Name_, Peers_.active());
  Urgent_ = true;
  membersChanged();
  if (Lifecycle_.state() == EntryState::Starting && Lifecycle_.contacted())
    JoinedAt_ = Time_.now();
}

void Mesh::learnOfSelf(const wire::MemberNews &Fact, Actions &Out) {
  if (Fact.Incarnation_ < Run_)
    return;
  // An earlier run of this name had a clock that was ahead.
  if (Fact.Incarnation_ > Run_)
    return restart(Incarnation(Fact.Incarnation_.value() + 1), Out);
  const bool Accused =
      Fact.Phase_ == Phase::Suspected || Fact.Phase_ == Phase::Gone;
  if (!Accused || Fact.Generation_ < Generation_)
    return;
  Generation_ = Fact.Generation_ + 1;
  Urgent_ = true;
  Gossip_.add(Self_, Peers_.active());
}

/// Views that differ for longer than news take to arrive are compared in full.
void Mesh::compareViews(const Peer &From, ViewId Theirs, Actions &Out) {
  if (Theirs == View_->id()) {
    TableBackoff_ = FirstTableBackoff;
    return;
  }
  const TimePoint Now = Time_.now();
  TableBackoff_ = std::max(TableBackoff_, FirstTableBackoff);
  if (Now - ViewChanged_ < FirstTableBackoff || Now < NextTableRequest_)
    return;
  NextTableRequest_ = Now + TableBackoff_;
  TableBackoff_ = std::min(2 * TableBackoff_, LongestTableBackoff);
  Out.emplace_back(Send{{From.Address_}, wire::TableRequest{}});
}

void Mesh::requestTable(Actions &Out) {
  std::vector<Ipv4> Live;
  for (const auto &[Name, Each] : Peers_.peers())
    if (Each.counts())
      Live.push_back(Each.Address_);
  NextTableRequest_ = Time_.now() + Timing_.Lease_ / 2;
  Out.emplace_back(Send{{Live[Source_() % Live.size()]}, wire::TableRequest{}});
}

} // namespace medlarmoor::membership
