#include <harness/flow_caller.hpp>

#include <harness/flow_host.hpp>

namespace medlarmoor::harness {

namespace {

constexpr std::uint16_t FirstPort = 1024;
/// A packet without an answer is sent again after this long.
constexpr Millis RepeatAfter{200};
/// A flow whose packet stays without an answer this long is given up.
constexpr Millis GiveUpAfter = Seconds(10);
constexpr Millis LongestTick = Seconds(1);
constexpr std::size_t PayloadBytes = 32;

std::uint32_t lengthOf(const Packet &Each) {
  return static_cast<std::uint32_t>(Each.Payload_.size()) +
         (Each.has(TcpSyn) || Each.has(TcpFin) ? 1U : 0U);
}

std::string flowText(const Packet &Sent) {
  return Sent.From_.text() + "-" + Sent.To_.text();
}

/// The upstream that wrote an answer's payload.
std::string nameIn(const Packet &Answer) {
  return Answer.Payload_.substr(0, Answer.Payload_.find('/'));
}

} // namespace

FlowCaller::FlowCaller(Ipv4 Address, std::uint64_t Seed, Send Out)
    : Address_(Address), Random_(Seed), Send_(std::move(Out)),
      LastPort_(FirstPort) {}

void FlowCaller::setLoad(const FlowLoad &Load) { Load_ = Load; }

void FlowCaller::finish() {
  Load_.Rate_ = 0;
  Load_.Long_ = 0;
  for (auto &[Port, Each] : Flows_) {
    if (Each.Long_)
      Each.Left_ = 1;
    Each.Long_ = false;
  }
  LongOpen_ = 0;
}

void FlowCaller::tick(TimePoint Now) {
  const Nanos Passed = std::min<Nanos>(Now - LastTick_, LongestTick);
  LastTick_ = Now;
  if (!Load_.Services_.empty()) {
    Owed_ += Load_.Rate_ * std::chrono::duration<double>(Passed).count();
    for (; Owed_ >= 1; Owed_ -= 1)
      open(false, Now);
    while (LongOpen_ < Load_.Long_)
      open(true, Now);
  }
  for (auto Each = Flows_.begin(); Each != Flows_.end();) {
    Flow &Which = Each->second;
    const bool Over = Which.NextAt_ <= Now && !advance(Which, Now);
    LongOpen_ -= Over && Which.Long_ ? 1 : 0;
    Each = Over ? Flows_.erase(Each) : std::next(Each);
  }
}

void FlowCaller::open(bool Long, TimePoint Now) {
  do
    LastPort_ = LastPort_ < FirstPort ? FirstPort : LastPort_ + 1;
  while (LastPort_ < FirstPort || Flows_.contains(LastPort_));
  std::uniform_int_distribution<std::size_t> Choice(0,
                                                    Load_.Services_.size() - 1);
  Flow New;
  New.Sent_ = {{Address_, LastPort_},
               Load_.Services_[Choice(Random_)],
               TcpSyn,
               static_cast<std::uint32_t>(Random_()),
               0,
               {}};
  New.Long_ = Long;
  New.Left_ = Load_.Exchanges_;
  New.FirstSent_ = Now;
  LongOpen_ += Long ? 1 : 0;
  ++Outcomes_.Started_;
  send(Flows_[LastPort_] = std::move(New), Now);
}

void FlowCaller::send(Flow &Which, TimePoint Now) {
  Which.NextAt_ = Now + RepeatAfter;
  Send_(Which.Sent_);
}

bool FlowCaller::advance(Flow &Which, TimePoint Now) {
  if (Which.Stage_ != Stage::Idle)
    return repeat(Which, Now);
  nextExchange(Which, Now);
  return true;
}

void FlowCaller::nextExchange(Flow &Which, TimePoint Now) {
  Packet &Next = Which.Sent_;
  const bool Last = !Which.Long_ && Which.Left_ == 0;
  Next.Seq_ += lengthOf(Next);
  Next.Flags_ = Last ? (TcpFin | TcpAck) : (TcpAck | TcpPsh);
  Next.Payload_ = Last ? "" : std::string(PayloadBytes, 'd');
  Which.Left_ -= Which.Left_ > 0 ? 1 : 0;
  Which.Stage_ = Last ? Stage::Closing : Stage::Asking;
  Which.FirstSent_ = Now;
  send(Which, Now);
}

bool FlowCaller::repeat(Flow &Which, TimePoint Now) {
  if (Now - Which.FirstSent_ < GiveUpAfter) {
    ++Outcomes_.Retransmits_;
    send(Which, Now);
    return true;
  }
  if (Which.Stage_ == Stage::Opening)
    ++Outcomes_.Unopened_;
  else
    breakFlow(Which, "stalled", Now);
  abandon(Which);
  return false;
}

void FlowCaller::abandon(const Flow &Which) {
  Packet Last = Which.Sent_;
  Last.Flags_ = TcpRst;
  Last.Payload_.clear();
  Send_(Last);
}

void FlowCaller::breakFlow(const Flow &Which, const char *Reason,
                           TimePoint Now) {
  Outcomes_.Broken_.push_back(
      {flowText(Which.Sent_), Reason, Which.Upstream_, Now});
}

void FlowCaller::onPacket(const Packet &In, TimePoint Now) {
  const auto Found = Flows_.find(In.To_.port());
  if (Found == Flows_.end())
    return;
  Flow &Which = Found->second;
  const bool Mine = In.To_ == Which.Sent_.From_ && In.From_ == Which.Sent_.To_;
  if (!Mine || onAnswer(Which, In, Now))
    return;
  LongOpen_ -= Which.Long_ ? 1 : 0;
  Flows_.erase(Found);
}

bool FlowCaller::onAnswer(Flow &Which, const Packet &In, TimePoint Now) {
  const bool ToLast = In.Ack_ == Which.Sent_.Seq_ + lengthOf(Which.Sent_);
  if (In.has(TcpRst)) {
    if (Which.Stage_ == Stage::Opening)
      ++Outcomes_.Refused_;
    else
      breakFlow(Which, "reset", Now);
    return false;
  }
  if (In.has(TcpSyn))
    return onOpened(Which, In, Now);
  if (Which.Stage_ == Stage::Idle || !ToLast)
    return true;
  if (nameIn(In) != Which.Upstream_) {
    breakFlow(Which, "other upstream", Now);
    return false;
  }
  if (In.Payload_ != FlowHost::answerText(Which.Upstream_, Which.Sent_)) {
    ++Outcomes_.WrongAnswers_;
    breakFlow(Which, "wrong answer", Now);
    return false;
  }
  ++Outcomes_.Exchanges_;
  if (Which.Stage_ == Stage::Closing) {
    ++Outcomes_.Finished_;
    return false;
  }
  Which.Stage_ = Stage::Idle;
  Which.NextAt_ = Now + Load_.Gap_;
  return true;
}

bool FlowCaller::onOpened(Flow &Which, const Packet &In, TimePoint Now) {
  if (Which.Stage_ != Stage::Opening) {
    Outcomes_.SecondOpens_ += nameIn(In) != Which.Upstream_ ? 1 : 0;
    return true;
  }
  const std::string Name = nameIn(In);
  if (In.Payload_ != FlowHost::answerText(Name, Which.Sent_)) {
    ++Outcomes_.WrongAnswers_;
    return true;
  }
  ++Outcomes_.Opened_;
  Which.Upstream_ = Name;
  Which.Stage_ = Stage::Idle;
  Which.NextAt_ = Now + Load_.Gap_;
  return true;
}

} // namespace medlarmoor::harness
