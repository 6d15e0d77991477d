#ifndef MEDLARMOOR_HARNESS_FLOW_FLEET_HPP
#define MEDLARMOOR_HARNESS_FLOW_FLEET_HPP

#include <harness/packet_builder.hpp>

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/core/manual_clock.hpp>
#include <medlarmoor/flow/director.hpp>
#include <medlarmoor/wire/sealer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// What became of one packet.
struct Delivery {
  enum class Kind : unsigned char { Upstream, Refused, Dropped, Lost };

  Kind Kind_ = Kind::Lost;
  /// The upstream's endpoint, when it got there.
  Endpoint Upstream_;
  flow::DropReason Reason_ = flow::DropReason::NoHome;
  /// Entries that handled the packet.
  unsigned Entries_ = 0;
};

/// A few flow directors of one failure domain in one process, on one manual
/// clock. It passes packets and messages between them; who sees which view and
/// which document is told by its user.
class FlowFleet {
public:
  /// Time moves on in steps of this length; messages take one step.
  static constexpr Nanos Step = flow::Director::TickPeriod;

  FlowFleet(config::Settings Base, std::uint64_t Seed);

  /// Starts an entry that has the present document and no view yet; its index.
  std::size_t add();
  /// The entry stops without a word.
  void kill(std::size_t Index) { at(Index).Alive_ = false; }
  /// The entry stands still; what is sent to it waits.
  void pause(std::size_t Index) { at(Index).Paused_ = true; }
  void wake(std::size_t Index);
  void leave(std::size_t Index) { at(Index).Director_->leave(); }
  /// Messages between the two are lost from now on, or no longer.
  void cut(std::size_t A, std::size_t B, bool Lost);

  /// The entry sees these members, the leaving ones as leaving.
  void show(std::size_t Index, const std::set<std::size_t> &Members,
            const std::set<std::size_t> &Leaving = {});
  /// All running entries see all that are alive and not paused.
  void showAll();
  void document(const config::ActiveConfigPtr &Next);
  void document(std::size_t Index, const config::ActiveConfigPtr &Next);
  /// Runs What at the first step at or after In from now.
  void schedule(Nanos In, std::function<void()> What);
  /// Moves time on by one step: due events, ticks, messages.
  void step();
  void run(Nanos Span);

  /// Sends a packet from the fabric to an entry and follows it.
  Delivery send(std::size_t Index, Endpoint From, Endpoint To, Flags Set);

  [[nodiscard]] flow::Director &director(std::size_t Index) {
    return *at(Index).Director_;
  }
  [[nodiscard]] bool serves(std::size_t Index) const {
    return Entries_[Index].Alive_ && !Entries_[Index].Paused_;
  }
  [[nodiscard]] bool alive(std::size_t Index) const {
    return Entries_[Index].Alive_;
  }
  [[nodiscard]] std::size_t size() const noexcept { return Entries_.size(); }
  [[nodiscard]] TimePoint now() const { return Clock_->now(); }
  [[nodiscard]] EntryName nameOf(std::size_t Index) const;
  /// Datagrams of messages that an entry has sent, and their bytes with
  /// signature and IP and UDP headers.
  struct Sent {
    std::uint64_t Messages_ = 0;
    std::uint64_t Bytes_ = 0;
  };
  [[nodiscard]] Sent sentBy(std::size_t Index) const {
    return Entries_[Index].Sent_;
  }

private:
  /// A packet that waits at a paused entry.
  struct Waiting {
    std::vector<std::byte> Inner_;
    bool FromEntry_ = false;
    flow::PeerHeader Header_;
    Ipv4 From_;
  };
  struct Entry {
    std::unique_ptr<flow::Director> Director_;
    Ipv4 Address_;
    bool Alive_ = true;
    bool Paused_ = false;
    std::deque<Waiting> Packets_;
    std::vector<wire::Incoming> Messages_;
    std::unique_ptr<wire::Sealer> Sealer_;
    Sent Sent_;
  };

  [[nodiscard]] Entry &at(std::size_t Index) { return Entries_[Index]; }
  [[nodiscard]] std::size_t indexOf(Ipv4 Address) const;
  [[nodiscard]] std::size_t indexOf(const EntryName &Name) const;
  Delivery follow(std::size_t Index, Waiting Packet);
  void post(std::size_t From);
  void deliver();

  config::Settings Base_;
  std::uint64_t Seed_;
  std::shared_ptr<ManualClock> Clock_ = std::make_shared<ManualClock>();
  std::vector<Entry> Entries_;
  config::ActiveConfigPtr Document_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::set<std::pair<std::size_t, std::size_t>> Cut_;
};

/// A document with one service for each name, whose upstreams are numbered.
class DocumentBuilder {
public:
  /// Adds a service at the next address of 192.0.2.0/24, port 443.
  DocumentBuilder &service(const std::string &Name, int Upstreams,
                           double Epsilon, std::uint32_t Connections = 2000);
  /// The next version, as it stands now.
  [[nodiscard]] config::ActiveConfigPtr build();

  [[nodiscard]] config::Service &at(std::size_t Index) {
    return Environment_.Services_[Index];
  }
  [[nodiscard]] const config::Environment &environment() const noexcept {
    return Environment_;
  }
  /// A fresh upstream of a service, not in use before.
  [[nodiscard]] config::Upstream fresh(std::size_t Service,
                                       std::uint32_t Connections = 2000);

private:
  config::Environment Environment_;
  std::uint64_t Version_ = 0;
  std::uint32_t Made_ = 0;
};

/// The failure domain of the fleet and of its upstreams.
[[nodiscard]] DomainName fleetDomain();

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FLOW_FLEET_HPP
