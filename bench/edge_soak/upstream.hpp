#ifndef MEDLARMOOR_BENCH_EDGE_SOAK_UPSTREAM_HPP
#define MEDLARMOOR_BENCH_EDGE_SOAK_UPSTREAM_HPP

#include <bench/edge_soak/judge.hpp>
#include <bench/edge_soak/store_standin.hpp>
#include <bench/edge_soak/wire_packet.hpp>

#include <harness/udp_port.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>

#include <map>
#include <memory>
#include <string>

namespace medlarmoor::bench::soak {

/// The server end of flows: answers handshakes, runs each request once and
/// sends the answer straight to the client.
class Upstream {
public:
  /// What names one upstream.
  struct Identity {
    std::uint64_t Number_ = 0;
    std::string Service_;
    std::string Domain_;
    Endpoint Address_;
  };

  /// ClientPort is the port at which all clients receive packets.
  Upstream(boost::asio::io_context &Io, Identity Self, std::uint16_t ClientPort,
           StoreStandin &Store, Judge &Checks, Clock Time, Random Source);

  [[nodiscard]] bool start();
  /// Announces the end; flows go on.
  void drain();
  /// Ends without a word and frees its address. The store's entry is left to
  /// the caller.
  void crash();
  void unregister();
  /// Writes the entry again, as an upstream does that missed the store.
  void registerAgain();
  [[nodiscard]] std::string name() const;
  [[nodiscard]] bool draining() const noexcept { return Draining_; }
  [[nodiscard]] bool alive() const noexcept { return Alive_; }
  [[nodiscard]] const Identity &identity() const noexcept { return Self_; }

private:
  struct Flow {
    std::uint32_t Sequence_ = 0;
    bool Open_ = false;
    std::string Answer_;
    std::uint32_t Echo_ = 0;
  };
  using Key = std::pair<Endpoint, Endpoint>;

  void receive(std::span<const std::byte> Datagram);
  void open(const WirePacket &In);
  void follow(const WirePacket &In);
  void work(const WirePacket &In);
  void send(const WirePacket &To, WirePacket Out);

  boost::asio::io_context &Io_;
  Identity Self_;
  std::uint16_t ClientPort_;
  StoreStandin &Store_;
  Judge &Checks_;
  Clock Time_;
  Random Source_;
  /// Start of the process, in Unix milliseconds.
  std::int64_t BornMs_;
  std::unique_ptr<harness::UdpPort> Port_;
  std::map<Key, Flow> Flows_;
  bool Alive_ = true;
  bool Draining_ = false;
};

} // namespace medlarmoor::bench::soak

#endif // MEDLARMOOR_BENCH_EDGE_SOAK_UPSTREAM_HPP
