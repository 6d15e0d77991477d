#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/flow/consistent_table.hpp>
#include <medlarmoor/flow/flow_table.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace medlarmoor;
using namespace medlarmoor::flow;

TEST_CASE("the flow table agrees with a map over random operations") {
  FlowTable Table(200);
  std::map<std::uint64_t, UpstreamIndex> Model;
  Random Generator(7);
  for (int Step = 0; Step < 50'000; ++Step) {
    const FlowId Id{static_cast<ServiceIndex>(Generator() % 3),
                    Generator() % 150};
    FlowRecord *Found = Table.find(Id);
    REQUIRE((Found != nullptr) == Model.contains(Id.key()));
    if (Found != nullptr) {
      REQUIRE(Found->Upstream_ == Model[Id.key()]);
      REQUIRE(Found->id() == Id);
      Table.erase(Found);
      Model.erase(Id.key());
    } else if (FlowRecord *Added = Table.insert(Id)) {
      Added->Upstream_ = static_cast<UpstreamIndex>(Step);
      Model[Id.key()] = Added->Upstream_;
    } else {
      REQUIRE(Table.size() == Table.limit());
    }
    REQUIRE(Table.size() == Model.size());
  }
}

TEST_CASE("a sweep visits every record and erases the selected ones") {
  FlowTable Table(1000);
  for (std::uint64_t I = 0; I < 1000; ++I)
    REQUIRE(Table.insert({0, mix(I, 5) & FlowHashMask}) != nullptr);
  std::set<std::uint64_t> Visited;
  Table.sweep(Table.slots() + Table.size(), [&](FlowRecord &Record) {
    Visited.insert(Record.Key_);
    return Record.id().Hash_ % 2 == 0;
  });
  CHECK(Visited.size() == 1000);
  Table.forEach([](FlowRecord &Record) { CHECK(Record.id().Hash_ % 2 == 1); });
}

namespace {

std::vector<TableShare> shares(int Count) {
  std::vector<TableShare> Shares;
  Shares.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Shares.push_back({static_cast<UpstreamIndex>(I),
                      hashText("upstream-" + std::to_string(I)), 1.0});
  return Shares;
}

std::map<UpstreamIndex, int> slotCounts(const ConsistentTable &Table) {
  std::map<UpstreamIndex, int> Counts;
  for (const UpstreamIndex Upstream : Table.slots())
    ++Counts[Upstream];
  return Counts;
}

} // namespace

TEST_CASE("a consistent table assigns slots by weight") {
  std::vector<TableShare> Shares = shares(5);
  Shares[4].Weight_ = 0.5;
  const ConsistentTable Table(Shares);
  const auto Counts = slotCounts(Table);
  const double SlotsPerWeight = static_cast<double>(Table.slots().size()) / 4.5;
  for (const TableShare &Share : Shares)
    CHECK(std::abs(Counts.at(Share.Upstream_) -
                   SlotsPerWeight * Share.Weight_) <= 2);
}

TEST_CASE(
    "a consistent table ignores the order of shares and moves few slots") {
  std::vector<TableShare> Shares = shares(15);
  const ConsistentTable Before(Shares);
  std::reverse(Shares.begin(), Shares.end());
  const ConsistentTable Reversed(Shares);
  CHECK(std::ranges::equal(Before.slots(), Reversed.slots()));
  std::erase_if(Shares,
                [](const TableShare &Share) { return Share.Upstream_ == 3; });
  const ConsistentTable After(Shares);
  std::size_t MovedNeedlessly = 0;
  for (std::size_t I = 0; I < After.slots().size(); ++I) {
    CHECK(After.slots()[I] != 3);
    if (Before.slots()[I] != 3 && Before.slots()[I] != After.slots()[I])
      ++MovedNeedlessly;
  }
  // A modulo table would move 14 of 15 slots.
  CHECK(MovedNeedlessly * 10 < After.slots().size());
}
