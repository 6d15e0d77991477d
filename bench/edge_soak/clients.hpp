#ifndef MEDLARMOOR_BENCH_EDGE_SOAK_CLIENTS_HPP
#define MEDLARMOOR_BENCH_EDGE_SOAK_CLIENTS_HPP

#include <bench/edge_soak/judge.hpp>
#include <bench/edge_soak/wire_packet.hpp>

#include <harness/udp_port.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarmoor::bench::soak {

/// The client end of flows: opens a flow for each request, repeats what is not
/// answered and gives up at a deadline. Requests are not repeated by a new
/// flow, so that each failure counts.
class Clients {
public:
  /// A client gives up a request after this long (the clients' protocol).
  static constexpr Millis Deadline{2500};

  /// How requests ended that began after a moment.
  struct Tally {
    std::uint64_t Asked_ = 0;
    std::uint64_t Done_ = 0;
    std::uint64_t Refused_ = 0;
    std::uint64_t Failed_ = 0;
  };

  /// Where the routers send a flow's packets now; nothing when no edge is left.
  using Fabric =
      std::function<std::optional<Endpoint>(Endpoint Client, Endpoint Virtual)>;

  Clients(boost::asio::io_context &Io, std::vector<Ipv4> Addresses,
          std::uint16_t Port, Fabric Routers, Judge &Checks, Clock Time,
          Random Source);

  [[nodiscard]] bool start();
  /// Begins one request to Virtual; Counted when the tally includes it.
  void ask(Endpoint Virtual, bool Counted);
  /// Counts from zero; requests under way count for nothing.
  void restartTally() {
    Tally_ = {};
    ++Epoch_;
  }
  [[nodiscard]] const Tally &tally() const noexcept { return Tally_; }
  /// A line for each of the last failed requests.
  [[nodiscard]] const std::vector<std::string> &failures() const noexcept {
    return Failures_;
  }

private:
  using Key = std::pair<Endpoint, Endpoint>;
  struct Flow {
    Key Ends_;
    std::size_t Socket_ = 0;
    std::string Request_;
    TimePoint Began_{};
    std::uint64_t Epoch_ = 0;
    bool Counted_ = true;
    std::uint32_t Sequence_ = 0;
    std::uint32_t Acknowledge_ = 0;
    std::uint32_t Echo_ = 0;
    std::uint32_t Sends_ = 0;
    bool Open_ = false;
    bool Answered_ = false;
    std::unique_ptr<boost::asio::steady_timer> Timer_;
  };

  void receive(std::span<const std::byte> Datagram);
  void send(Flow &Each, WirePacket Out);
  void sendNext(const Key &Ends);
  void arm(Flow &Each, Millis After);
  void end(const Key &Ends, std::uint64_t Tally::*Outcome,
           const std::string &How);

  boost::asio::io_context &Io_;
  std::vector<Ipv4> Addresses_;
  std::uint16_t Port_;
  Fabric Routers_;
  Judge &Checks_;
  Clock Time_;
  Random Source_;
  std::vector<std::unique_ptr<harness::UdpPort>> Sockets_;
  std::map<Key, Flow> Flows_;
  std::uint64_t Requests_ = 0;
  std::uint64_t Epoch_ = 0;
  Tally Tally_;
  std::vector<std::string> Failures_;
};

} // namespace medlarmoor::bench::soak

#endif // MEDLARMOOR_BENCH_EDGE_SOAK_CLIENTS_HPP
