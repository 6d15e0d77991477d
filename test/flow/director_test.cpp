#include <harness/flow_fleet.hpp>
#include <harness/sprayed_load.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

using Kind = Delivery::Kind;

const Endpoint Address(Ipv4(0xC0000200), 443);

Endpoint caller(std::uint16_t Port) { return {Ipv4(0x0A000001), Port}; }

/// Returns a fleet whose entries see each other and have completed joining.
FlowFleet settledFleet(std::size_t Entries,
                       const config::ActiveConfigPtr &Document,
                       config::Settings Settings = {}) {
  FlowFleet Fleet(std::move(Settings), 1);
  Fleet.document(Document);
  for (std::size_t I = 0; I < Entries; ++I)
    Fleet.add();
  Fleet.showAll();
  Fleet.run(Seconds(3));
  return Fleet;
}

std::set<std::size_t> range(std::size_t Count) {
  std::set<std::size_t> Indexes;
  for (std::size_t I = 0; I < Count; ++I)
    Indexes.insert(I);
  return Indexes;
}

} // namespace

TEST_CASE("all packets of a flow reach one upstream through any entry") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(5, Doc.service("booking", 15, 0.25).build());
  for (std::uint16_t Port = 2000; Port < 2500; ++Port) {
    const Delivery First = Fleet.send(Port % 5U, caller(Port), Address, Syn);
    REQUIRE(First.Kind_ == Kind::Upstream);
    for (std::size_t Entry = 0; Entry < 5; ++Entry) {
      const Delivery Next = Fleet.send(Entry, caller(Port), Address, Ack);
      REQUIRE(Next.Kind_ == Kind::Upstream);
      REQUIRE(Next.Upstream_ == First.Upstream_);
      REQUIRE(Next.Entries_ <= 2);
    }
  }
}

TEST_CASE(
    "a packet without configuration, home or service is dropped with that "
    "reason") {
  DocumentBuilder Doc;
  Doc.service("booking", 2, 0.25);
  FlowFleet Fleet({}, 1);
  Fleet.add();
  CHECK(Fleet.send(0, caller(1), Address, Syn).Reason_ ==
        flow::DropReason::NoConfiguration);
  Fleet.document(Doc.build());
  Fleet.showAll();
  // An entry that sees no other waits before it accepts flows.
  CHECK(Fleet.send(0, caller(1), Address, Syn).Reason_ ==
        flow::DropReason::NoHome);
  Fleet.run(Seconds(2));
  CHECK(Fleet.send(0, caller(1), Address, Syn).Kind_ == Kind::Upstream);
  const Endpoint Elsewhere(Address.address(), 80);
  CHECK(Fleet.send(0, caller(1), Elsewhere, Syn).Reason_ ==
        flow::DropReason::UnknownAddress);
}

TEST_CASE("a drained upstream keeps its flows and receives no new ones") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(3, Doc.service("booking", 4, 0.25).build());
  std::map<std::uint16_t, Endpoint> UpstreamOf;
  for (std::uint16_t Port = 2000; Port < 2400; ++Port) {
    UpstreamOf[Port] = Fleet.send(0, caller(Port), Address, Syn).Upstream_;
    Fleet.send(1, caller(Port), Address, Ack);
  }
  Doc.at(0).Upstreams_[1].Drain_ = true;
  const Endpoint Drained = Doc.at(0).Upstreams_[1].Packets_;
  Fleet.document(Doc.build());
  Fleet.run(Seconds(4));
  int Stayed = 0;
  for (const auto &[Port, Upstream] : UpstreamOf) {
    REQUIRE(Fleet.send(2, caller(Port), Address, Ack).Upstream_ == Upstream);
    Stayed += Upstream == Drained ? 1 : 0;
  }
  CHECK(Stayed > 50);
  for (std::uint16_t Port = 3000; Port < 3400; ++Port)
    REQUIRE(Fleet.send(0, caller(Port), Address, Syn).Upstream_ != Drained);
  // The flows stay also when the document no longer names the upstream.
  Doc.at(0).Upstreams_.erase(Doc.at(0).Upstreams_.begin() + 1);
  Fleet.document(Doc.build());
  Fleet.run(Seconds(1));
  for (const auto &[Port, Upstream] : UpstreamOf)
    REQUIRE(Fleet.send(1, caller(Port), Address, Ack).Upstream_ == Upstream);
}

TEST_CASE("an address that moves to another service receives no old flow") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(
      3, Doc.service("booking", 2, 0.25).service("archive", 2, 0.25).build());
  for (std::uint16_t Port = 2000; Port < 2100; ++Port)
    Fleet.send(0, caller(Port), Address, Syn);
  const config::Upstream Moved = Doc.at(0).Upstreams_[0];
  Doc.at(0).Upstreams_.erase(Doc.at(0).Upstreams_.begin());
  Doc.at(1).Upstreams_.push_back(Moved);
  Doc.at(1).Upstreams_.back().Name_ = UpstreamName("archive-new");
  Fleet.document(Doc.build());
  int Dropped = 0;
  for (std::uint16_t Port = 2000; Port < 2100; ++Port) {
    const Delivery Result = Fleet.send(1, caller(Port), Address, Ack);
    if (Result.Kind_ == Kind::Upstream)
      REQUIRE(Result.Upstream_ != Moved.Packets_);
    else
      Dropped += Result.Reason_ == flow::DropReason::UpstreamGone ? 1 : 0;
  }
  CHECK(Dropped > 20);
}

TEST_CASE("a full service refuses new flows and stays within its limit") {
  DocumentBuilder Doc;
  FlowFleet Fleet =
      settledFleet(3, Doc.service("booking", 2, 0.25, 100).build());
  std::map<Endpoint, int> Open;
  int Refused = 0;
  for (std::uint16_t Port = 2000; Port < 2400; ++Port) {
    const Delivery Result = Fleet.send(Port % 3U, caller(Port), Address, Syn);
    if (Result.Kind_ == Kind::Upstream) {
      ++Open[Result.Upstream_];
      Fleet.send(0, caller(Port), Address, Ack);
    }
    Refused += Result.Kind_ == Kind::Refused ? 1 : 0;
    Fleet.step();
  }
  for (const auto &[Upstream, Count] : Open) {
    CHECK(Count <= 100);
    CHECK(Count >= 94); // at most two connections per home stay unused
  }
  CHECK(Refused == 400 - Open.begin()->second - Open.rbegin()->second);
}

TEST_CASE("a full table refuses new flows and forwards established ones") {
  DocumentBuilder Doc;
  config::Settings Settings;
  Settings.Flow_.MaxFlows_ = 50;
  FlowFleet Fleet =
      settledFleet(1, Doc.service("booking", 2, 0.25).build(), Settings);
  int Refused = 0;
  for (std::uint16_t Port = 2000; Port < 2080; ++Port)
    Refused += Fleet.send(0, caller(Port), Address, Syn).Kind_ == Kind::Refused;
  CHECK(Refused == 30);
  CHECK(Fleet.send(0, caller(9000), Address, Ack).Kind_ == Kind::Upstream);
  // Expired idle flows make room.
  Fleet.run(Seconds(45));
  CHECK(Fleet.send(0, caller(9001), Address, Syn).Kind_ == Kind::Upstream);
}

TEST_CASE("a planned leave completes only after the handoff of all flows") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(4, Doc.service("redaccion", 15, 0.02).build());
  std::map<std::uint16_t, Endpoint> UpstreamOf;
  for (std::uint16_t Port = 2000; Port < 5000; ++Port) {
    UpstreamOf[Port] =
        Fleet.send(Port % 4U, caller(Port), Address, Syn).Upstream_;
    Fleet.send(0, caller(Port), Address, Ack);
  }
  Fleet.leave(2);
  CHECK_FALSE(Fleet.director(2).handedOver());
  for (int I = 0; I < 100 && !Fleet.director(2).handedOver(); ++I)
    Fleet.step();
  REQUIRE(Fleet.director(2).handedOver());
  Fleet.kill(2);
  Fleet.showAll();
  for (const auto &[Port, Upstream] : UpstreamOf)
    REQUIRE(Fleet.send(3, caller(Port), Address, Ack).Upstream_ == Upstream);
}

TEST_CASE("a joining entry consults previous homes, also while views differ") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(3, Doc.service("redaccion", 15, 0.02).build());
  std::map<std::uint16_t, Endpoint> UpstreamOf;
  for (std::uint16_t Port = 2000; Port < 4000; ++Port)
    UpstreamOf[Port] =
        Fleet.send(Port % 3U, caller(Port), Address, Syn).Upstream_;
  const auto CheckAll = [&] {
    for (const auto &[Port, Upstream] : UpstreamOf)
      for (std::size_t Entry = 0; Entry < 4; ++Entry)
        REQUIRE(Fleet.send(Entry, caller(Port), Address, Ack).Upstream_ ==
                Upstream);
  };
  Fleet.add();
  Fleet.show(3, range(4)); // the other entries do not see it yet
  Fleet.run(Millis(500));
  CheckAll();
  Fleet.show(0, range(4)); // one of the others sees it now
  Fleet.run(Millis(500));
  CheckAll();
  Fleet.showAll();
  Fleet.run(Millis(200));
  CheckAll();
  Fleet.run(Seconds(5));
  CheckAll();
  CHECK(Fleet.director(3).tracker().openFlows() > 200);
  CHECK_FALSE(Fleet.director(3).homes().awaitsGrants());
}

TEST_CASE("a flow that opens while several entries join reaches one upstream") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(1, Doc.service("redaccion", 15, 0.02).build());
  for (int I = 0; I < 3; ++I)
    Fleet.add();
  Fleet.showAll();
  std::map<std::uint16_t, Endpoint> UpstreamOf;
  std::uint16_t Port = 2000;
  for (int Step = 0; Step < 20; ++Step) {
    for (int I = 0; I < 60; ++I, ++Port) {
      const Delivery First = Fleet.send(Port % 4U, caller(Port), Address, Syn);
      if (First.Kind_ == Kind::Upstream)
        UpstreamOf[Port] = First.Upstream_;
    }
    for (const auto &[OpenPort, Upstream] : UpstreamOf) {
      const Delivery Next =
          Fleet.send((OpenPort + 1U) % 4U, caller(OpenPort), Address, Ack);
      const bool Dropped = Next.Kind_ == Kind::Dropped;
      INFO("step " << Step << " port " << OpenPort);
      REQUIRE((Dropped || Next.Upstream_ == Upstream));
    }
    Fleet.step();
  }
  CHECK(UpstreamOf.size() > 1000);
  for (std::size_t Entry = 0; Entry < 4; ++Entry)
    CHECK_FALSE(Fleet.director(Entry).homes().awaitsGrants());
}

TEST_CASE("a paused entry is home of no flow until a view includes it") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(3, Doc.service("booking", 15, 0.25).build());
  std::map<std::uint16_t, Endpoint> UpstreamOf;
  for (std::uint16_t Port = 2000; Port < 3000; ++Port)
    UpstreamOf[Port] =
        Fleet.send(Port % 3U, caller(Port), Address, Syn).Upstream_;
  Fleet.run(Seconds(2)); // replicates the overrides
  Fleet.pause(1);
  Fleet.run(Seconds(1));
  Fleet.show(0, {0, 2});
  Fleet.show(2, {0, 2});
  Fleet.run(Seconds(9));
  Fleet.wake(1);
  CHECK(Fleet.director(1).suspended());
  CHECK(Fleet.director(1).tracker().table().size() == 0);
  Fleet.run(Seconds(1));
  for (const auto &[Port, Upstream] : UpstreamOf)
    REQUIRE(Fleet.send(1, caller(Port), Address, Ack).Upstream_ == Upstream);
  CHECK(Fleet.director(1).tracker().table().size() == 0);
  Fleet.showAll();
  Fleet.run(Seconds(5));
  CHECK_FALSE(Fleet.director(1).suspended());
  for (const auto &[Port, Upstream] : UpstreamOf)
    REQUIRE(Fleet.send(0, caller(Port), Address, Ack).Upstream_ == Upstream);
  CHECK(Fleet.director(1).tracker().openFlows() > 200);
}

TEST_CASE("retransmitted first packets mark an upstream silent and leave it") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(1, Doc.service("booking", 2, 4.0).build());
  const Endpoint Silent = Doc.at(0).Upstreams_[0].Packets_;
  std::vector<std::uint16_t> StalledPorts;
  for (std::uint16_t Port = 2000; Port < 2040; ++Port) {
    if (Fleet.send(0, caller(Port), Address, Syn).Upstream_ == Silent)
      StalledPorts.push_back(Port);
    else
      Fleet.send(0, caller(Port), Address, Ack);
  }
  REQUIRE(StalledPorts.size() > 8);
  Fleet.run(Seconds(1));
  for (std::size_t I = 0; I < 6; ++I)
    Fleet.send(0, caller(StalledPorts[I]), Address, Syn);
  Fleet.run(Seconds(2));
  Fleet.send(0, caller(StalledPorts[6]), Address, Syn);
  // Flows that were never established now go elsewhere, and so do new ones.
  CHECK(Fleet.send(0, caller(StalledPorts[0]), Address, Syn).Upstream_ !=
        Silent);
  Fleet.run(Seconds(1));
  int Probes = 0;
  for (std::uint16_t Port = 3000; Port < 3100; ++Port)
    Probes += Fleet.send(0, caller(Port), Address, Syn).Upstream_ == Silent;
  CHECK(Probes == 1);
}

TEST_CASE("an explanation names the rule, the view and the version") {
  DocumentBuilder Doc;
  FlowFleet Fleet = settledFleet(1, Doc.service("booking", 3, 0.25).build());
  Fleet.send(0, caller(2000), Address, Syn);
  const auto Explanation = nlohmann::json::parse(
      Fleet.director(0).explain("10.0.0.1:2000-192.0.2.0:443"));
  CHECK(Explanation["service"] == "booking");
  CHECK(Explanation["home"] == "entry-0");
  CHECK(Explanation["record"]["rule"] == "default");
  CHECK(Explanation["record"]["chosenUnderConfig"] == 1);
  CHECK(Explanation["view"] == Fleet.director(0).homes().view().id().value());
  CHECK(
      nlohmann::json::parse(Fleet.director(0).explain("x")).contains("error"));
}
