#ifndef MEDLARMOOR_FLOW_DIRECTOR_HPP
#define MEDLARMOOR_FLOW_DIRECTOR_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/flow/chooser.hpp>
#include <medlarmoor/flow/connection_tracker.hpp>
#include <medlarmoor/flow/decision.hpp>
#include <medlarmoor/flow/home_tracker.hpp>
#include <medlarmoor/flow/prepared_packet.hpp>
#include <medlarmoor/flow/replicator.hpp>
#include <medlarmoor/wire/incoming.hpp>

#include <optional>
#include <span>
#include <string>

namespace medlarmoor::flow {

/// Decides where each packet goes. The inputs are packets, views,
/// configurations, messages from other entries and the passing of time; the
/// outputs are decisions and messages. Does no I/O.
class Director {
public:
  /// Interval at which tick() is to be called.
  static constexpr Nanos TickPeriod = Millis(100);

  Director(const config::Settings &Settings, Clock Time, Random Generator);
  Director(const Director &) = delete;
  Director &operator=(const Director &) = delete;

  /// Reads the clock; call it before each batch of packets. After a pause
  /// longer than the lease allows, this entry suspends itself: it is home of no
  /// flow until the next view.
  void readClock();
  /// Returns true between such a pause and the next view.
  [[nodiscard]] bool suspended() const noexcept { return Homes_.suspended(); }
  /// Returns true while this entry may be home of flows and has received
  /// everything that it is home of.
  [[nodiscard]] bool ready() const noexcept {
    return Homes_.active(Now_) && !Homes_.joining() && !Homes_.leaving();
  }
  /// Parses a packet and prefetches its flow's record. Prepare all packets of a
  /// batch first, so that their records load in parallel. Inner is the IPv4
  /// packet.
  [[nodiscard]] PreparedPacket prepare(std::span<const std::byte> Inner);
  /// Decides about a packet that the fabric delivered.
  [[nodiscard]] Decision decide(const PreparedPacket &Input);
  /// Decides about a packet that the entry at address From forwarded.
  [[nodiscard]] Decision decide(const PreparedPacket &Input,
                                const PeerHeader &Header, Ipv4 From);

  void adopt(const config::ActiveConfig &Document);
  void adopt(const membership::View &Members);
  void receive(const wire::Incoming &Message);
  /// Expires records, replicates overrides and claims flows that are due.
  void tick();
  /// Returns the messages to send, in order.
  [[nodiscard]] std::vector<wire::Outgoing> takeOutgoing();

  /// Begins the planned handoff.
  void leave();
  /// Returns true once the others have acknowledged everything that was handed
  /// off.
  [[nodiscard]] bool handedOver() const noexcept;

  /// Returns, as JSON text, which rule chose the upstream of a flow and under
  /// which view and configuration version. Flow has the form
  /// "address:port-address:port".
  [[nodiscard]] std::string explain(std::string_view Flow);

  [[nodiscard]] ConnectionTracker &tracker() noexcept { return Tracker_; }
  [[nodiscard]] HomeTracker &homes() noexcept { return Homes_; }
  [[nodiscard]] const Replicator &replicator() const noexcept {
    return Replicator_;
  }

private:
  /// How a packet reached this entry.
  struct Arrival {
    PeerHeader Header_;
    /// The entry that forwarded the packet; null if it came from the fabric or
    /// from an entry that is not in the view.
    const membership::Member *Sender_ = nullptr;
  };

  [[nodiscard]] Decision decideFrom(const PreparedPacket &Input,
                                    const Arrival &Via);
  [[nodiscard]] Decision onRecord(FlowRecord &Record, const Packet &Received);
  [[nodiscard]] Decision onReset(FlowRecord &Record);
  [[nodiscard]] Decision onRepeatedFirstPacket(FlowRecord &Record,
                                               const Packet &Received);
  [[nodiscard]] Decision route(FlowId Id, FlowRecord *Replica,
                               const Packet &Received, const Arrival &Via);
  [[nodiscard]] Decision decideLocally(FlowId Id, FlowRecord *Replica,
                                       const Packet &Received);
  [[nodiscard]] Decision openFlow(FlowId Id, const Packet &Received);
  [[nodiscard]] Decision continueFlow(FlowId Id, const Packet &Received);
  [[nodiscard]] bool isHome(const membership::Member &Candidate, FlowId Id);
  [[nodiscard]] Decision forwardToEntry(const membership::Member &To,
                                        const Arrival &Via,
                                        PeerIntent Intent) const;
  [[nodiscard]] bool ownsFirstPacket(FlowId Id, const FlowRecord &Record);
  [[nodiscard]] Decision forwardToUpstream(const FlowRecord &Record);
  void onDecided(FlowRecord &Record);
  void onEstablished(FlowRecord &Record);
  void onStalled(FlowRecord &Record);
  [[nodiscard]] HomeShare homeShare() const;

  void sweep();
  [[nodiscard]] bool sweepRecord(FlowRecord &Record);
  [[nodiscard]] bool expired(const FlowRecord &Record) const noexcept;
  void ensureReplicated(FlowRecord &Record,
                        const membership::Member *Successor);
  void startFastSweep() noexcept { FastUntil_ = Now_ + Seconds(1); }
  void clearState();

  Clock Clock_;
  Random Random_;
  Nanos Idle_;
  Nanos LongestPause_;
  ConnectionTracker Tracker_;
  HomeTracker Homes_;
  Replicator Replicator_;
  TimePoint Now_;
  /// Now_ as a stamp.
  Stamp Stamp_ = 0;
  /// Low 16 bits of the id of the latest view.
  std::uint16_t ViewTag_ = 0;
  /// When the fast sweep ends.
  TimePoint FastUntil_;
  /// When replaced tables were last removed.
  TimePoint RetiredAt_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_DIRECTOR_HPP
