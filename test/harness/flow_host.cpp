#include <harness/flow_host.hpp>

#include <medlarmoor/core/hash.hpp>

namespace medlarmoor::harness {

namespace {

/// A closed flow still answers repeated packets for this long.
constexpr Millis ClosedKept = Seconds(10);
constexpr Millis SweepPeriod = Seconds(1);

/// A FIN counts as one byte.
std::uint32_t lengthOf(const Packet &In) {
  return static_cast<std::uint32_t>(In.Payload_.size()) +
         (In.has(TcpFin) || In.has(TcpSyn) ? 1U : 0U);
}

Packet answerTo(const Packet &In, std::uint8_t Flags, std::string Payload) {
  return {In.To_,
          In.From_,
          Flags,
          In.Ack_,
          In.Seq_ + lengthOf(In),
          std::move(Payload)};
}

} // namespace

FlowHost::FlowHost(std::string Name, std::set<Endpoint> ServiceAddresses,
                   std::uint64_t Connections)
    : Name_(std::move(Name)), ServiceAddresses_(std::move(ServiceAddresses)),
      Connections_(Connections) {}

std::string FlowHost::answerText(const std::string &Name,
                                 const Packet &Request) {
  const std::uint64_t Hash =
      hashText(Request.From_.text() + Request.To_.text() + Request.Payload_,
               Request.Seq_);
  return Name + "/" + std::to_string(Hash);
}

std::optional<Packet> FlowHost::onPacket(const Packet &In, TimePoint Now) {
  ++Counters_.Packets_;
  forgetClosed(Now);
  if (!ServiceAddresses_.contains(In.To_)) {
    ++Counters_.Misrouted_;
    return std::nullopt;
  }
  const Key Which(In.From_, In.To_);
  if (In.has(TcpSyn))
    return onFirst(In, Which);
  const auto Found = Flows_.find(Which);
  if (Found == Flows_.end()) {
    if (In.has(TcpRst))
      return std::nullopt;
    ++Counters_.Unknown_;
    return reset(In);
  }
  if (In.has(TcpRst)) {
    close(Found->second, Now);
    return std::nullopt;
  }
  if (In.has(TcpFin)) {
    close(Found->second, Now);
    return answerTo(In, TcpFin | TcpAck, answerText(Name_, In));
  }
  return answerTo(In, TcpAck | TcpPsh, answerText(Name_, In));
}

Packet FlowHost::onFirst(const Packet &In, const Key &Which) {
  const auto Found = Flows_.find(Which);
  const bool New =
      Found == Flows_.end() ||
      (Found->second.Closed_ && Found->second.FirstSeq_ != In.Seq_);
  if (New && Counters_.Open_ >= Connections_) {
    ++Counters_.Refused_;
    return reset(In);
  }
  if (New) {
    ++Counters_.Opened_;
    ++Counters_.Open_;
    Flows_[Which] = {In.Seq_, false, {}};
  }
  return answerTo(In, TcpSyn | TcpAck, answerText(Name_, In));
}

Packet FlowHost::reset(const Packet &In) {
  return answerTo(In, TcpRst | TcpAck, {});
}

void FlowHost::close(Flow &Which, TimePoint Now) {
  if (Which.Closed_)
    return;
  Which.Closed_ = true;
  Which.ClosedAt_ = Now;
  --Counters_.Open_;
}

void FlowHost::forgetClosed(TimePoint Now) {
  if (Now < NextSweep_)
    return;
  NextSweep_ = Now + SweepPeriod;
  std::erase_if(Flows_, [Now](const auto &Each) {
    return Each.second.Closed_ && Each.second.ClosedAt_ + ClosedKept < Now;
  });
}

void FlowHost::restart() {
  Flows_.clear();
  Counters_.Open_ = 0;
}

} // namespace medlarmoor::harness
