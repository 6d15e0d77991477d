#ifndef MEDLARMOOR_FLOW_DIRECTOR_HPP
#define MEDLARMOOR_FLOW_DIRECTOR_HPP

#include <medlarmoor/config/in_force.hpp>
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

/// Decides for each packet where it goes. Takes packets, views,
/// configurations, messages of other entries and the passing of time; gives
/// decisions and messages. Does no I/O.
class Director {
public:
  /// How often tick() is to be called.
  static constexpr Nanos TickPeriod = Millis(100);

  Director(const config::Settings &Told, Clock Time, Random Generator);
  Director(const Director &) = delete;
  Director &operator=(const Director &) = delete;

  /// Reads the clock; call it before each batch of packets. After a pause
  /// longer than the lease allows, this entry is nobody's home until the next
  /// view.
  void readClock();
  /// True between a pause and the next view.
  [[nodiscard]] bool suspended() const noexcept { return Homes_.suspended(); }
  /// True while this entry may be home of flows and has been handed all that
  /// is its own.
  [[nodiscard]] bool ready() const noexcept {
    return Homes_.active(Now_) && !Homes_.joining() && !Homes_.leaving();
  }
  /// Reads a packet and asks the processor to load its flow's record. Prepare
  /// all packets of a batch first, so that they are loaded side by side. Inner
  /// is the IPv4 packet.
  [[nodiscard]] PreparedPacket prepare(std::span<const std::byte> Inner);
  /// Decides for a packet that the fabric brought.
  [[nodiscard]] Decision decide(const PreparedPacket &Seen);
  /// Decides for a packet that the entry at From passed on.
  [[nodiscard]] Decision decide(const PreparedPacket &Seen,
                                const PeerHeader &Header, Ipv4 From);

  void adopt(const config::InForce &Document);
  void adopt(const membership::View &Members);
  void receive(const wire::Incoming &Message);
  /// Expires, replicates, claims.
  void tick();
  /// Messages to send, in order.
  [[nodiscard]] std::vector<wire::Outgoing> takeOutgoing();

  /// Begins the planned hand-over.
  void leave();
  /// The others have acknowledged all that was handed over.
  [[nodiscard]] bool handedOver() const noexcept;

  /// Which rule chose the upstream of the flow "address:port-address:port",
  /// under which view and version, as JSON text.
  [[nodiscard]] std::string explain(std::string_view Flow);

  [[nodiscard]] ConnectionTracker &tracker() noexcept { return Tracker_; }
  [[nodiscard]] HomeTracker &homes() noexcept { return Homes_; }
  [[nodiscard]] const Replicator &replicator() const noexcept {
    return Replicator_;
  }

private:
  /// How a packet came to this entry.
  struct Arrival {
    PeerHeader Header_;
    /// The entry that passed it on; null for the fabric and for an entry that
    /// is not in the view.
    const membership::Member *Sender_ = nullptr;
  };

  [[nodiscard]] Decision decideFrom(const PreparedPacket &Seen,
                                    const Arrival &Via);
  [[nodiscard]] Decision onRecord(FlowRecord &Record, const Packet &Seen);
  [[nodiscard]] Decision onReset(FlowRecord &Record);
  [[nodiscard]] Decision onRepeatedFirstPacket(FlowRecord &Record,
                                               const Packet &Seen);
  [[nodiscard]] Decision route(FlowId Id, FlowRecord *Copy, const Packet &Seen,
                               const Arrival &Via);
  [[nodiscard]] Decision decideLocally(FlowId Id, FlowRecord *Copy,
                                       const Packet &Seen);
  [[nodiscard]] Decision openFlow(FlowId Id, const Packet &Seen);
  [[nodiscard]] Decision continueFlow(FlowId Id, const Packet &Seen);
  [[nodiscard]] bool isHome(const membership::Member &Each, FlowId Id);
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
  void ensureReplicated(FlowRecord &Record, const membership::Member *Next);
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
  Stamp Stamp_ = 0;
  std::uint16_t ViewTag_ = 0;
  TimePoint FastUntil_;
  TimePoint RetiredAt_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_DIRECTOR_HPP
