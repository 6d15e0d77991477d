#ifndef MEDLARMOOR_HARNESS_FLOW_CALLER_HPP
#define MEDLARMOOR_HARNESS_FLOW_CALLER_HPP

#include <harness/flow_load.hpp>
#include <harness/flow_outcomes.hpp>
#include <harness/packet.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

#include <functional>
#include <map>
#include <string>

namespace medlarmoor::harness {

/// The flow side of a caller: opens flows, sends one packet of each at a time
/// until it is answered, and checks that all answers of a flow are right and
/// come from one upstream. No I/O and no clock of its own.
class FlowCaller {
public:
  using Send = std::function<void(const Packet &)>;

  FlowCaller(Ipv4 Address, std::uint64_t Seed, Send Out);

  /// Replaces the load; flows under way go on.
  void setLoad(const FlowLoad &Load);
  /// Opens no more flows and closes the long ones after their next exchange.
  void finish();
  /// Does what is due: opens, sends, repeats, gives up.
  void tick(TimePoint Now);
  void onPacket(const Packet &In, TimePoint Now);

  [[nodiscard]] const FlowOutcomes &outcomes() const noexcept {
    return Outcomes_;
  }
  /// Flows that are not over yet.
  [[nodiscard]] std::size_t open() const noexcept { return Flows_.size(); }

private:
  enum class Stage : unsigned char { Opening, Idle, Asking, Closing };
  struct Flow {
    Packet Sent_;
    Stage Stage_ = Stage::Opening;
    bool Long_ = false;
    std::uint32_t Left_ = 0;
    std::string Upstream_;
    TimePoint FirstSent_;
    TimePoint NextAt_;
  };
  using Flows = std::map<std::uint16_t, Flow>;

  void open(bool Long, TimePoint Now);
  void send(Flow &Which, TimePoint Now);
  /// Returns false when the flow is over.
  bool advance(Flow &Which, TimePoint Now);
  void nextExchange(Flow &Which, TimePoint Now);
  bool repeat(Flow &Which, TimePoint Now);
  bool onAnswer(Flow &Which, const Packet &In, TimePoint Now);
  bool onOpened(Flow &Which, const Packet &In, TimePoint Now);
  void breakFlow(const Flow &Which, const char *Reason, TimePoint Now);
  /// Tells the upstream of a flow that was given up.
  void abandon(const Flow &Which);

  Ipv4 Address_;
  Random Random_;
  Send Send_;
  FlowLoad Load_;
  FlowOutcomes Outcomes_;
  Flows Flows_;
  std::uint16_t LastPort_;
  std::uint32_t LongOpen_ = 0;
  double Owed_ = 0;
  TimePoint LastTick_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FLOW_CALLER_HPP
