#include <harness/flow_fleet.hpp>
#include <harness/packet_builder.hpp>
#include <harness/subnet.hpp>

#include <medlarmoor/daemon/channels.hpp>
#include <medlarmoor/flow/flow_thread.hpp>

#include <catch2/catch.hpp>

#include <functional>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

constexpr std::uint16_t PacketsPort = 7200;
const Endpoint Address(Ipv4(0xC0000200), 443);

/// The flow thread of one entry with an upstream, a caller and another entry,
/// all on loopback sockets.
class FlowThreadSetup {
public:
  FlowThreadSetup() {
    Settings_.Name_ = EntryName("a");
    Settings_.Domain_ = fleetDomain();
    Settings_.Address_ = Net_.address(1, 1);
    REQUIRE(Upstream_.open({Net_.address(2, 1), PacketsPort}));
    REQUIRE(Caller_.open({Net_.address(3, 1), flow::CallerPort}));
    REQUIRE(Peer_.open({Net_.address(1, 2), Settings_.Ports_.Peer_}));
    Document_.service("booking", 1, 0.25, 1);
    Document_.at(0).Upstreams_[0].Packets_ = Upstream_.local();
    Thread_.emplace(Settings_, Channels_.ConfigToFlow_,
                    Channels_.ControlViewToFlow_, Channels_.ControlToFlow_,
                    Channels_.FlowToControl_, Clock(), Metrics_, Events_);
    REQUIRE(Thread_->start());
    REQUIRE(Channels_.ConfigToFlow_.push(Document_.build()));
  }

  void pushView(const std::vector<membership::Member> &Members) {
    REQUIRE(Channels_.ControlViewToFlow_.push(
        std::make_shared<membership::View>(Settings_.Name_, Members)));
  }
  [[nodiscard]] membership::Member selfMember() const {
    return {Settings_.Name_, Settings_.Address_, membership::MemberState::Live};
  }
  [[nodiscard]] membership::Member peerMember() const {
    return {EntryName("b"), Net_.address(1, 2), membership::MemberState::Live};
  }
  /// Sends a packet of the caller to the entry, as the fabric
  /// encapsulates it.
  void sendFromFabric(std::uint16_t Port, Flags Set) {
    std::vector<std::byte> Datagram(flow::GueBytes);
    const auto Header = flow::gueHeader();
    std::copy(Header.begin(), Header.end(), Datagram.begin());
    const auto Inner =
        buildPacket({Net_.address(3, 1), Port}, Address, Set, 100);
    Datagram.insert(Datagram.end(), Inner.begin(), Inner.end());
    Caller_.send({Settings_.Address_, Settings_.Ports_.Flow_}, Datagram);
  }
  void sendRaw(std::span<const std::byte> Bytes) {
    Caller_.send({Settings_.Address_, Settings_.Ports_.Flow_}, Bytes);
  }
  /// Calls Send repeatedly until Socket receives a datagram, and returns the
  /// datagram. Returns an empty one after 10 s.
  std::vector<std::byte> sendUntilReceived(net::UdpSocket &Socket,
                                           const std::function<void()> &Send) {
    std::array<std::byte, 2048> Buffer;
    const auto End = std::chrono::steady_clock::now() + Seconds(10);
    while (std::chrono::steady_clock::now() < End) {
      Send();
      for (int I = 0; I < 20; ++I) {
        if (const auto Received = Socket.receive(Buffer))
          return {Received->Bytes_.begin(), Received->Bytes_.end()};
        std::this_thread::sleep_for(Millis(1));
      }
    }
    return {};
  }
  [[nodiscard]] std::uint64_t counter(const std::string &Name,
                                      const std::string &Labels) {
    return Metrics_.counter(Name, Labels).value();
  }

  Subnet Net_ = *Subnet::acquire();
  config::Settings Settings_;
  net::UdpSocket Upstream_;
  net::UdpSocket Caller_;
  net::UdpSocket Peer_;
  daemon::Channels Channels_;
  telemetry::Registry Metrics_;
  telemetry::EventLog Events_{"flow-test", "ERROR"};
  DocumentBuilder Document_;
  std::optional<flow::FlowThread> Thread_;
};

} // namespace

TEST_CASE("the flow thread forwards packets, refuses flows when the service is "
          "full and counts drops") {
  FlowThreadSetup Setup;
  Setup.pushView({Setup.selfMember()});
  const auto Forwarded = Setup.sendUntilReceived(
      Setup.Upstream_, [&] { Setup.sendFromFabric(4000, Syn); });
  REQUIRE(Forwarded.size() == flow::GueBytes + 140);
  const auto Inner = std::span(Forwarded).subspan(flow::GueBytes);
  flow::Packet Parsed;
  REQUIRE_FALSE(flow::parsePacket(Inner, Parsed));
  CHECK(Parsed.Destination_ == Address);

  // The upstream's only connection is in use, so the next flow is
  // refused with a reset.
  const auto Refused = Setup.sendUntilReceived(
      Setup.Caller_, [&] { Setup.sendFromFabric(4001, Syn); });
  REQUIRE(Refused.size() == flow::GueBytes + flow::ResetBytes);
  flow::Packet Reset;
  REQUIRE_FALSE(
      flow::parsePacket(std::span(Refused).subspan(flow::GueBytes), Reset));
  CHECK(Reset.Rst_);
  CHECK(Reset.Destination_.port() == 4001);

  std::vector<std::byte> Short(3);
  Setup.sendUntilReceived(Setup.Caller_, [&] {
    Setup.sendRaw(Short);
    Setup.sendFromFabric(4001, Syn);
  });
  CHECK(Setup.counter("medlarmoor_flow_dropped_total",
                      "reason=\"truncated_encapsulation\"") >= 1);
  CHECK(Setup.counter("medlarmoor_flow_refused_total",
                      "reason=\"service_full\"") >= 2);
  const std::string Flow =
      Endpoint(Setup.Net_.address(3, 1), 4000).text() + "-" + Address.text();
  CHECK(Setup.Thread_->explain(Flow).find("\"rule\":\"default\"") !=
        std::string::npos);
  Setup.Thread_->leave();
  Setup.sendUntilReceived(Setup.Upstream_,
                          [&] { Setup.sendFromFabric(4000, Ack); });
  const auto End = std::chrono::steady_clock::now() + Seconds(5);
  while (!Setup.Thread_->handedOver() && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(Millis(5));
  CHECK(Setup.Thread_->handedOver());
}

TEST_CASE("the flow thread forwards packets between entries") {
  FlowThreadSetup Setup;
  Setup.pushView({Setup.selfMember(), Setup.peerMember()});
  std::uint16_t Port = 4000;
  // The home of some flow is the other entry. While this entry joins, it
  // forwards all packets there.
  const auto Forwarded = Setup.sendUntilReceived(
      Setup.Peer_, [&] { Setup.sendFromFabric(Port++, Ack); });
  REQUIRE(Forwarded.size() == flow::PeerGueBytes + 140);
  std::vector<std::byte> Returned = Forwarded;
  const auto Decapsulated =
      std::get<flow::PeerPacket>(flow::decapsulatePeer(Returned));
  CHECK(Decapsulated.Header_.Hops_ == 1);
  // The other entry returns the packet as handed off to this entry, which
  // forwards it to the upstream.
  const auto Header = flow::peerGueHeader({1, flow::PeerIntent::HandedOff});
  std::copy(Header.begin(), Header.end(), Returned.begin());
  const auto Received = Setup.sendUntilReceived(Setup.Upstream_, [&] {
    Setup.Peer_.send({Setup.Settings_.Address_, Setup.Settings_.Ports_.Peer_},
                     Returned);
  });
  CHECK(Received.size() == flow::GueBytes + 140);
}
