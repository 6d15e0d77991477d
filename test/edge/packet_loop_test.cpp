#include <harness/catalog_builder.hpp>

#include <packet.hpp>

#include <medlarmoor/edge/packet_loop.hpp>

#include <boost/endian/conversion.hpp>

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace medlarmoor;
using namespace medlarmoor::edge;
using namespace medlarmoor::harness;

namespace {

constexpr Ipv4 Loopback{0x7f000001};
const Endpoint Virtual{Ipv4(0xc6120001), 443};

/// The bytes of a client's SYN.
std::vector<std::byte> synBytes(std::uint16_t Port) {
  std::vector<std::byte> Bytes(PacketCodec::ResetBytes);
  auto *Data = reinterpret_cast<unsigned char *>(Bytes.data());
  Data[0] = 32;
  boost::endian::store_big_u32(Data + 19, 0x64400007);
  boost::endian::store_big_u16(Data + 23, Port);
  boost::endian::store_big_u16(Data + 25, Virtual.port());
  boost::endian::store_big_u32(Data + 27, Virtual.address().value());
  return Bytes;
}

/// A packet loop with one upstream, whose socket the test reads.
struct Loop {
  Loop() {
    REQUIRE(Upstream_.open({Loopback, 0}));
    REQUIRE(Client_.open({Loopback, 0}));
    // Finds a free port for the loop.
    net::UdpSocket Probe;
    REQUIRE(Probe.open({Loopback, 0}));
    Address_ = Probe.local();
  }

  void load() {
    discovery::Upstream Listed = upstream("i-1");
    Listed.Address_ = Upstream_.local();
    Catalog_.apply(whole({Listed}), revision(1), Time_.now());
    routing::RouteTable Table;
    routing::Route Route;
    Route.Address_ = Virtual;
    Route.Services_ = {{ServiceName("web"), 1}};
    Table.Routes_.emplace(Virtual, Route);
    Router_.adopt(Table);
  }

  std::size_t received() {
    std::array<std::byte, 2048> Buffer;
    std::size_t Count = 0;
    while (Upstream_.receive(Buffer))
      ++Count;
    return Count;
  }

  boost::asio::io_context Io_;
  Clock Time_;
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_{"loop-test", "ERROR"};
  discovery::Catalog Catalog_{{}};
  routing::Router Router_;
  Forwarder Forwarder_{
      Catalog_,
      Router_,
      {DomainName("seeb"), placement::LeastLoaded{}, Random(1)},
      {}};
  Readiness Readiness_{Millis(6000)};
  DecisionLog Decisions_{Catalog_, Router_, [](TimePoint) { return Millis(0); },
                         Log_, Metrics_};
  net::UdpSocket Upstream_;
  net::UdpSocket Client_;
  Endpoint Address_;
  Freshness Fresh_{true, true, false};
};

} // namespace

TEST_CASE("planned stop under load: packets that wait in the socket are "
          "delivered before the exit") {
  Loop Setup;
  Setup.load();
  PacketLoop Packets(
      Setup.Io_, Setup.Address_, adapter::packetCodec(), Setup.Forwarder_,
      Setup.Readiness_, Setup.Decisions_, [&] { return Setup.Fresh_; },
      Setup.Time_);
  REQUIRE(Packets.start());
  for (std::uint16_t Port = 1; Port <= 150; ++Port)
    REQUIRE(Setup.Client_.send(Setup.Address_, synBytes(Port)));
  Packets.drain();
  CHECK(Setup.received() == 150);
}

TEST_CASE("restart: a SYN that arrives before the lists is delivered as soon "
          "as they are loaded") {
  Loop Setup;
  PacketLoop Packets(
      Setup.Io_, Setup.Address_, adapter::packetCodec(), Setup.Forwarder_,
      Setup.Readiness_, Setup.Decisions_, [&] { return Setup.Fresh_; },
      Setup.Time_);
  REQUIRE(Packets.start());
  REQUIRE(Setup.Client_.send(Setup.Address_, synBytes(1)));
  Packets.drain();
  CHECK(Setup.received() == 0);
  Setup.load();
  Packets.handleHeld();
  CHECK(Setup.received() == 1);
}

TEST_CASE("paused process: a SYN waits until the upstreams have been read "
          "again") {
  Loop Setup;
  Setup.load();
  Setup.Fresh_ = {true, false, true};
  PacketLoop Packets(
      Setup.Io_, Setup.Address_, adapter::packetCodec(), Setup.Forwarder_,
      Setup.Readiness_, Setup.Decisions_, [&] { return Setup.Fresh_; },
      Setup.Time_);
  REQUIRE(Packets.start());
  REQUIRE(Setup.Client_.send(Setup.Address_, synBytes(1)));
  Packets.drain();
  Packets.handleHeld();
  CHECK(Setup.received() == 0);
  // The upstream left while the process was paused.
  Setup.Catalog_.apply(unlisted("i-1"), revision(2), Setup.Time_.now());
  Setup.Fresh_ = {true, true, true};
  Packets.handleHeld();
  CHECK(Setup.received() == 0);
}

// Guards against SYNs that waited while this instance was paused and are then
// placed although their flows were opened through other instances.
TEST_CASE("paused process: all SYNs that waited in the socket are discarded, "
          "later ones are delivered") {
  Loop Setup;
  Setup.load();
  PacketLoop Packets(
      Setup.Io_, Setup.Address_, adapter::packetCodec(), Setup.Forwarder_,
      Setup.Readiness_, Setup.Decisions_, [&] { return Setup.Fresh_; },
      Setup.Time_);
  REQUIRE(Packets.start());
  constexpr std::uint16_t Waiting = 2 * net::BatchPackets + 1;
  for (std::uint16_t Port = 1; Port <= Waiting; ++Port)
    REQUIRE(Setup.Client_.send(Setup.Address_, synBytes(Port)));
  Setup.Fresh_.ResumedAt_ = Setup.Time_.now();
  Packets.drain();
  CHECK(Setup.received() == 0);
  REQUIRE(Setup.Client_.send(Setup.Address_, synBytes(1)));
  Packets.drain();
  CHECK(Setup.received() == 1);
}
