#include <medlarmoor/ctl/internal_proof.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::ctl::internal;

namespace {

constexpr Seconds Proving{600};
const WallTime Now(Seconds(10'000));

EntryRow proven(const std::string &Name) {
  return {EntryName(Name),
          DomainName("seeb"),
          EntryState::Reported,
          config::EntryStatus{ConfigVersion(7), Now - Seconds(700)},
          Now,
          true};
}

std::string first(const std::vector<EntryRow> &Fleet) {
  const auto Found = obstacles(Fleet, ConfigVersion(7), Proving);
  return Found.empty() ? "" : Found[0].Entry_.value() + " " + Found[0].Reason_;
}

} // namespace

TEST_CASE("a version that was in force everywhere long enough is proven") {
  CHECK(first({proven("a"), proven("b")}).empty());
}

TEST_CASE("each live entry that is not proven is an obstacle") {
  EntryRow Other = proven("b");
  Other.Status_->Version_ = ConfigVersion(6);
  CHECK(first({proven("a"), Other}) == "b acts on version 6");

  Other = proven("b");
  Other.Status_->Since_ = Now - Seconds(20);
  CHECK(first({proven("a"), Other}) == "b acts on it since 20 s of 600 s");

  Other = proven("b");
  Other.State_ = EntryState::CutOff;
  CHECK(first({proven("a"), Other}) == "b is cut off from the platform");

  Other = {EntryName("b"),
           DomainName("seeb"),
           EntryState::Unreported,
           {},
           WallTime(),
           true};
  CHECK(first({proven("a"), Other}) == "b is live, but no domain reports it");
  CHECK(first({}) == " no entry acts on it");
}

TEST_CASE("an entry that is gone is no obstacle") {
  EntryRow Gone = proven("b");
  Gone.State_ = EntryState::CutOff;
  Gone.Listed_ = false;
  CHECK(first({proven("a"), Gone}).empty());
}
