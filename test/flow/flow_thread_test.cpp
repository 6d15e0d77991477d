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

/// One entry's flow thread, one upstream, one caller and one other entry, all
/// on loopback sockets.
class Stage {
public:
  Stage() {
    Told_.Name_ = EntryName("a");
    Told_.Domain_ = fleetDomain();
    Told_.Address_ = Net_.address(1, 1);
    REQUIRE(Upstream_.open({Net_.address(2, 1), PacketsPort}));
    REQUIRE(Caller_.open({Net_.address(3, 1), flow::CallerPort}));
    REQUIRE(Peer_.open({Net_.address(1, 2), Told_.Ports_.Peer_}));
    Doc_.service("booking", 1, 0.25, 1);
    Doc_.at(0).Upstreams_[0].Packets_ = Upstream_.local();
    Thread_.emplace(Told_, Between_.ConfigToFlow_, Between_.ControlViewToFlow_,
                    Between_.ControlToFlow_, Between_.FlowToControl_, Clock(),
                    Metrics_, Events_);
    REQUIRE(Thread_->start());
    REQUIRE(Between_.ConfigToFlow_.push(Doc_.build()));
  }

  void show(const std::vector<membership::Member> &Members) {
    REQUIRE(Between_.ControlViewToFlow_.push(
        std::make_shared<membership::View>(Told_.Name_, Members)));
  }
  [[nodiscard]] membership::Member self() const {
    return {Told_.Name_, Told_.Address_, membership::MemberState::Live};
  }
  [[nodiscard]] membership::Member other() const {
    return {EntryName("b"), Net_.address(1, 2), membership::MemberState::Live};
  }
  /// Sends a packet of the caller's as the fabric would.
  void fabric(std::uint16_t Port, Flags Set) {
    std::vector<std::byte> Datagram(flow::GueBytes);
    const auto Header = flow::gueHeader();
    std::copy(Header.begin(), Header.end(), Datagram.begin());
    const auto Inner =
        buildPacket({Net_.address(3, 1), Port}, Address, Set, 100);
    Datagram.insert(Datagram.end(), Inner.begin(), Inner.end());
    Caller_.send({Told_.Address_, Told_.Ports_.Flow_}, Datagram);
  }
  void raw(std::span<const std::byte> Bytes) {
    Caller_.send({Told_.Address_, Told_.Ports_.Flow_}, Bytes);
  }
  /// Repeats Ask until Socket receives something; its bytes.
  std::vector<std::byte> until(net::UdpSocket &Socket,
                               const std::function<void()> &Ask) {
    std::array<std::byte, 2048> Buffer;
    const auto End = std::chrono::steady_clock::now() + Seconds(10);
    while (std::chrono::steady_clock::now() < End) {
      Ask();
      for (int I = 0; I < 20; ++I) {
        if (const auto Got = Socket.receive(Buffer))
          return {Got->Bytes_.begin(), Got->Bytes_.end()};
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
  config::Settings Told_;
  net::UdpSocket Upstream_;
  net::UdpSocket Caller_;
  net::UdpSocket Peer_;
  daemon::Channels Between_;
  telemetry::Registry Metrics_;
  telemetry::EventLog Events_{"flow-test", "ERROR"};
  DocumentBuilder Doc_;
  std::optional<flow::FlowThread> Thread_;
};

} // namespace

TEST_CASE("the flow thread forwards, refuses when full and counts drops") {
  Stage On;
  On.show({On.self()});
  const auto Got = On.until(On.Upstream_, [&] { On.fabric(4000, Syn); });
  REQUIRE(Got.size() == flow::GueBytes + 140);
  const auto Inner = std::span(Got).subspan(flow::GueBytes);
  flow::Packet Seen;
  REQUIRE_FALSE(flow::parsePacket(Inner, Seen));
  CHECK(Seen.Destination_ == Address);

  // The only connection is taken: the next first packet gets a reset.
  const auto Refused = On.until(On.Caller_, [&] { On.fabric(4001, Syn); });
  REQUIRE(Refused.size() == flow::GueBytes + flow::ResetBytes);
  flow::Packet Reset;
  REQUIRE_FALSE(
      flow::parsePacket(std::span(Refused).subspan(flow::GueBytes), Reset));
  CHECK(Reset.Rst_);
  CHECK(Reset.Destination_.port() == 4001);

  std::vector<std::byte> Short(3);
  On.until(On.Caller_, [&] {
    On.raw(Short);
    On.fabric(4001, Syn);
  });
  CHECK(On.counter("medlarmoor_flow_dropped_total",
                   "reason=\"truncated_encapsulation\"") >= 1);
  CHECK(On.counter("medlarmoor_flow_refused_total",
                   "reason=\"service_full\"") >= 2);
  const std::string Flow =
      Endpoint(On.Net_.address(3, 1), 4000).text() + "-" + Address.text();
  CHECK(On.Thread_->explain(Flow).find("\"rule\":\"default\"") !=
        std::string::npos);
  On.Thread_->leave();
  On.until(On.Upstream_, [&] { On.fabric(4000, Ack); });
  const auto End = std::chrono::steady_clock::now() + Seconds(5);
  while (!On.Thread_->handedOver() && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(Millis(5));
  CHECK(On.Thread_->handedOver());
}

TEST_CASE("the flow thread passes packets between entries") {
  Stage On;
  On.show({On.self(), On.other()});
  std::uint16_t Port = 4000;
  // Some flow's home is the other entry; while joining, all go there.
  const auto Passed = On.until(On.Peer_, [&] { On.fabric(Port++, Ack); });
  REQUIRE(Passed.size() == flow::PeerGueBytes + 140);
  std::vector<std::byte> Copy = Passed;
  const auto Read = std::get<flow::PeerPacket>(flow::decapsulatePeer(Copy));
  CHECK(Read.Header_.Hops_ == 1);
  // Handed back as this entry's own, it goes to the upstream.
  const auto Header = flow::peerGueHeader({1, flow::PeerIntent::HandedOff});
  std::copy(Header.begin(), Header.end(), Copy.begin());
  const auto Got = On.until(On.Upstream_, [&] {
    On.Peer_.send({On.Told_.Address_, On.Told_.Ports_.Peer_}, Copy);
  });
  CHECK(Got.size() == flow::GueBytes + 140);
}
