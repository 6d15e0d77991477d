#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/selector.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using namespace medlarmoor::harness;

namespace {

const ServiceName Web("web");

/// A catalog of upstreams and a selector of the domain "seeb".
struct Bench {
  explicit Bench(std::vector<discovery::Upstream> Upstreams) {
    Catalog_.apply(whole(std::move(Upstreams)), 1, at(0));
  }

  /// The name of the next choice, which is then at work there.
  std::string place(TimePoint Now = at(0)) {
    const auto *Chosen =
        Selector_.choose(Catalog_.candidates(Web), Stats_, Avoid_, Now);
    if (!Chosen)
      return "";
    const auto Port = static_cast<std::uint16_t>(++Ports_);
    Stats_.Flows_.add({{Ipv4(1), Port}, {Ipv4(2), 443}}, Chosen->Tag_,
                      Seconds(10), Now);
    return Chosen->Upstream_.Name_.value();
  }

  discovery::Catalog Catalog_{{}};
  UpstreamStats Stats_{{.FailureThreshold_ = 1}};
  const discovery::CatalogEntry *Avoid_ = nullptr;
  Selector Selector_{DomainName("seeb"), LeastLoaded{}, Random(1)};
  unsigned Ports_ = 0;
};

discovery::Upstream remote(const std::string &Name) {
  discovery::Upstream Out = upstream(Name);
  Out.Domain_ = DomainName("bawshar");
  return Out;
}

} // namespace

TEST_CASE("burst: flows spread evenly over equal upstreams") {
  Bench Each({upstream("i-1"), upstream("i-2"), upstream("i-3")});
  std::map<std::string, int> Placed;
  for (int I = 0; I < 30; ++I)
    ++Placed[Each.place()];
  CHECK(Placed ==
        std::map<std::string, int>{{"i-1", 10}, {"i-2", 10}, {"i-3", 10}});
}

TEST_CASE("burst: another domain helps once the own one is busy") {
  Bench Each({upstream("i-1"), remote("i-2")});
  CHECK(Each.place() == "i-1");
  // One of two slots is busy; the other domain's own load is not known.
  const std::string Second = Each.place();
  const std::string Third = Each.place();
  CHECK((Second == "i-2" || Third == "i-2"));
}

TEST_CASE("cold start: an upstream that warms up gets fewer flows") {
  discovery::Upstream Cold = upstream("i-2");
  Cold.WarmUp_ = Millis(2000);
  Bench Each({upstream("i-1"), Cold});
  std::map<std::string, int> Placed;
  for (int I = 0; I < 16; ++I)
    ++Placed[Each.place(at(100))];
  CHECK(Placed["i-2"] == 6);
  CHECK(Placed["i-1"] == 10);
}

TEST_CASE(
    "dark upstream: an ejected one is passed over while others are left") {
  Bench Each({upstream("i-1"), upstream("i-2"), upstream("i-3")});
  Each.Stats_.Ejector_.handshakeTimedOut(affinity::tagOf(UpstreamName("i-1")),
                                         at(0));
  for (int I = 0; I < 10; ++I)
    CHECK(Each.place(at(10)) != "i-1");
}

TEST_CASE(
    "cut: when most are ejected none is, as the way to them is at fault") {
  Bench Each(
      {upstream("i-1"), upstream("i-2"), upstream("i-3"), upstream("i-4")});
  for (const char *Name : {"i-1", "i-2", "i-3", "i-4"})
    Each.Stats_.Ejector_.handshakeTimedOut(affinity::tagOf(UpstreamName(Name)),
                                           at(0));
  std::map<std::string, int> Placed;
  for (int I = 0; I < 8; ++I)
    ++Placed[Each.place(at(10))];
  CHECK(Placed.size() == 4);
}

TEST_CASE("cut: upstreams of the own domain serve alone while they can") {
  Bench Each({upstream("i-1"), remote("i-2"), remote("i-3"), remote("i-4")});
  for (const char *Name : {"i-2", "i-3", "i-4"})
    Each.Stats_.Ejector_.handshakeTimedOut(affinity::tagOf(UpstreamName(Name)),
                                           at(0));
  for (int I = 0; I < 4; ++I)
    CHECK(Each.place(at(10)) == "i-1");
  // Two flows at work and two waiting: another one tries its luck elsewhere.
  CHECK(Each.place(at(10)) != "i-1");
}

TEST_CASE("slow upstream: it gets as many flows as it can finish in time") {
  Bench Each({upstream("i-1"), upstream("i-2")});
  for (int I = 0; I < 20; ++I) {
    Each.Stats_.ServiceTimes_.recordFlow({Ipv4(2), 443},
                                         affinity::tagOf(UpstreamName("i-1")),
                                         Millis(30), at(I));
    Each.Stats_.ServiceTimes_.recordFlow({Ipv4(2), 443},
                                         affinity::tagOf(UpstreamName("i-2")),
                                         Millis(150), at(I));
  }
  std::map<std::string, int> Placed;
  for (int I = 0; I < 10; ++I)
    ++Placed[Each.place(at(20))];
  CHECK(Placed["i-2"] >= 1);
  CHECK(Placed["i-1"] >= 7);
}

TEST_CASE(
    "grey upstream: one that fails requests gets no new ones while others "
    "are idle") {
  Bench Each({upstream("i-1"), upstream("i-2"), remote("i-3")});
  const affinity::Tag Grey = affinity::tagOf(UpstreamName("i-1"));
  Each.Stats_.FailureRates_.recordRequest({Ipv4(2), 443}, Grey, 0, at(0));
  std::map<std::string, int> Placed;
  for (int I = 0; I < 4; ++I)
    ++Placed[Each.place(at(10))];
  CHECK(Placed["i-1"] == 0);
  CHECK(Placed["i-2"] >= 2);
}

TEST_CASE("grey upstream: it is better than a long queue elsewhere") {
  Bench Each({upstream("i-1"), upstream("i-2")});
  const affinity::Tag Grey = affinity::tagOf(UpstreamName("i-1"));
  Each.Stats_.FailureRates_.recordRequest({Ipv4(2), 443}, Grey, 0, at(0));
  std::map<std::string, int> Placed;
  for (int I = 0; I < 20; ++I)
    ++Placed[Each.place(at(10))];
  CHECK(Placed["i-1"] >= 5);
  CHECK(Placed["i-1"] < Placed["i-2"]);
}

TEST_CASE("a retry avoids the upstream that did not answer") {
  Bench Each({upstream("i-1"), upstream("i-2")});
  Each.Avoid_ = Each.Catalog_.find(affinity::tagOf(UpstreamName("i-1")));
  for (int I = 0; I < 6; ++I)
    CHECK(Each.place() == "i-2");
}

TEST_CASE("the only upstream is chosen even when it did not answer") {
  Bench Each({upstream("i-1")});
  Each.Avoid_ = Each.Catalog_.find(affinity::tagOf(UpstreamName("i-1")));
  CHECK(Each.place() == "i-1");
}

TEST_CASE("a service without upstreams has no choice") {
  Bench Each({});
  CHECK(Each.place().empty());
}

TEST_CASE("the better of two random candidates spreads flows, too") {
  Bench Each({upstream("i-1"), upstream("i-2"), upstream("i-3")});
  Each.Selector_ = Selector(DomainName("seeb"), PowerOfTwoChoices{}, Random(1));
  std::map<std::string, int> Placed;
  for (int I = 0; I < 300; ++I)
    ++Placed[Each.place()];
  for (const auto &[Name, Count] : Placed)
    CHECK(Count <= 110);
}
