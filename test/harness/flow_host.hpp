#ifndef MEDLARMOOR_HARNESS_FLOW_HOST_HPP
#define MEDLARMOOR_HARNESS_FLOW_HOST_HPP

#include <harness/packet.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace medlarmoor::harness {

/// What an upstream counts of its flows.
struct FlowCounters {
  std::uint64_t Packets_ = 0;
  std::uint64_t Opened_ = 0;
  std::uint64_t Open_ = 0;
  std::uint64_t Refused_ = 0;
  /// Packets of flows that this upstream does not hold.
  std::uint64_t Unknown_ = 0;
  /// Packets to an address that is not its service's.
  std::uint64_t Misrouted_ = 0;
};

/// The flow side of one upstream: a small part of TCP for each flow. A first
/// packet opens, data is answered and acknowledged, a FIN closes, and packets
/// of a flow that is not held are answered by a reset. No I/O.
class FlowHost {
public:
  /// Name goes into every answer. Connections is the greatest number of flows
  /// that are open at once.
  FlowHost(std::string Name, std::set<Endpoint> ServiceAddresses,
           std::uint64_t Connections);

  /// Takes one packet and gives the answer to send to the caller, if any.
  [[nodiscard]] std::optional<Packet> onPacket(const Packet &In, TimePoint Now);
  /// Forgets all flows, as a restart does.
  void restart();

  [[nodiscard]] const FlowCounters &counters() const noexcept {
    return Counters_;
  }

  /// The payload that answers Request; both ends compute it.
  [[nodiscard]] static std::string answerText(const std::string &Name,
                                              const Packet &Request);

private:
  using Key = std::pair<Endpoint, Endpoint>;
  struct Flow {
    std::uint32_t FirstSeq_ = 0;
    bool Closed_ = false;
    TimePoint ClosedAt_;
  };

  Packet onFirst(const Packet &In, const Key &Which);
  static Packet reset(const Packet &In);
  void close(Flow &Which, TimePoint Now);
  void forgetClosed(TimePoint Now);

  std::string Name_;
  std::set<Endpoint> ServiceAddresses_;
  std::uint64_t Connections_;
  FlowCounters Counters_;
  std::map<Key, Flow> Flows_;
  TimePoint NextSweep_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FLOW_HOST_HPP
