#include <medlarmoor/config/status_keeper.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

const EntryName Self("a");
using Versions = std::map<EntryName, ConfigVersion>;

struct Bench {
  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  StatusKeeper Keeper_{Self, Clock(Time_)};

  /// Ticks for a while and returns the first action.
  std::optional<StatusAction> next(std::uint64_t Version, Millis While,
                                   bool Leads = true) {
    const TimePoint End = Time_->now() + While;
    while (Time_->now() < End) {
      Time_->advance(Millis(50));
      if (auto Out = Keeper_.onTick(Leads, {{Self, ConfigVersion(Version)}}))
        return Out;
    }
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("status is read before it is written, and writes are conditional") {
  Bench On;
  CHECK(std::holds_alternative<ReadStatus>(*On.next(1, Seconds(1))));
  CHECK_FALSE(On.next(1, Seconds(1)));
  On.Keeper_.onRead(7, {});
  const auto Action = On.next(1, Seconds(1));
  REQUIRE(Action);
  CHECK(std::get<WriteStatus>(*Action).IfVersion_ == 7);
  const auto Written = readStatusReport(std::get<WriteStatus>(*Action).Text_);
  REQUIRE(Written);
  CHECK(Written->Entries_.at(Self).Version_ == ConfigVersion(1));
}

TEST_CASE("writes are batched, and a quiet domain still reports") {
  Bench On;
  (void)On.next(1, Seconds(1));
  On.Keeper_.onRead(0, {});
  REQUIRE(On.next(1, Seconds(1)));
  On.Keeper_.onStored(1);
  CHECK_FALSE(On.next(2, Millis(1900)));
  CHECK(On.next(2, Millis(200)));
  On.Keeper_.onStored(2);
  CHECK_FALSE(On.next(2, Millis(4900)));
  CHECK(On.next(2, Millis(200)));
}

TEST_CASE("after a conflict, a lost answer, a pause or a lapsed lead the "
          "object is read again before the next write") {
  for (const int How : {0, 1, 2}) {
    INFO(How);
    Bench On;
    (void)On.next(1, Seconds(1));
    On.Keeper_.onRead(0, {});
    REQUIRE(On.next(1, Seconds(1)));
    if (How == 0) {
      On.Keeper_.onLost();
    } else {
      On.Keeper_.onStored(1);
      if (How == 1)
        On.Time_->advance(Seconds(3));
      else
        CHECK_FALSE(On.next(1, Seconds(1), false));
    }
    const auto Action = On.next(2, Seconds(10));
    REQUIRE(Action);
    CHECK(std::holds_alternative<ReadStatus>(*Action));
  }
}

TEST_CASE("the time since a version is in force is kept from writer to "
          "writer") {
  Bench On;
  (void)On.next(1, Seconds(1));
  const StatusReport Earlier{
      EntryName("b"),
      WallTime(Millis(900'000)),
      {{Self, {ConfigVersion(1), WallTime(Millis(800'000))}}}};
  On.Keeper_.onRead(3, Earlier.text());
  const auto Action = On.next(1, Seconds(10));
  REQUIRE(Action);
  const auto Written = readStatusReport(std::get<WriteStatus>(*Action).Text_);
  CHECK(Written->Entries_.at(Self).Since_ == WallTime(Millis(800'000)));
}
