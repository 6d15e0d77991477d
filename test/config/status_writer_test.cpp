#include <medlarmoor/config/status_writer.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

const EntryName Self("a");
using Versions = std::map<EntryName, ConfigVersion>;

struct WriterFixture {
  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  StatusWriter Writer_{Self, Clock(Time_)};

  /// Ticks until an action is due or the time Duration has passed. Returns the
  /// first action.
  std::optional<StatusAction> next(std::uint64_t Version, Millis Duration,
                                   bool IsLeader = true) {
    const TimePoint End = Time_->now() + Duration;
    while (Time_->now() < End) {
      Time_->advance(Millis(50));
      if (auto Action =
              Writer_.onTick(IsLeader, {{Self, ConfigVersion(Version)}}))
        return Action;
    }
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("status is read before it is written, and writes are conditional") {
  WriterFixture Fixture;
  CHECK(std::holds_alternative<ReadStatus>(*Fixture.next(1, Seconds(1))));
  CHECK_FALSE(Fixture.next(1, Seconds(1)));
  Fixture.Writer_.onReadEnd(7, {});
  const auto Action = Fixture.next(1, Seconds(1));
  REQUIRE(Action);
  CHECK(std::get<WriteStatus>(*Action).IfVersion_ == 7);
  const auto Written = readStatusReport(std::get<WriteStatus>(*Action).Text_);
  REQUIRE(Written);
  CHECK(Written->Entries_.at(Self).Version_ == ConfigVersion(1));
}

TEST_CASE("writes are batched, and an idle domain still writes reports") {
  WriterFixture Fixture;
  (void)Fixture.next(1, Seconds(1));
  Fixture.Writer_.onReadEnd(0, {});
  REQUIRE(Fixture.next(1, Seconds(1)));
  Fixture.Writer_.onStored(1);
  CHECK_FALSE(Fixture.next(2, Millis(1900)));
  CHECK(Fixture.next(2, Millis(200)));
  Fixture.Writer_.onStored(2);
  CHECK_FALSE(Fixture.next(2, Millis(4900)));
  CHECK(Fixture.next(2, Millis(200)));
}

TEST_CASE("after a conflict, a lost answer, a pause or lost leadership "
          "the object is read again before the next write") {
  for (const int Cause : {0, 1, 2}) {
    INFO(Cause);
    WriterFixture Fixture;
    (void)Fixture.next(1, Seconds(1));
    Fixture.Writer_.onReadEnd(0, {});
    REQUIRE(Fixture.next(1, Seconds(1)));
    if (Cause == 0) {
      Fixture.Writer_.onCallFailed();
    } else {
      Fixture.Writer_.onStored(1);
      if (Cause == 1)
        Fixture.Time_->advance(Seconds(3));
      else
        CHECK_FALSE(Fixture.next(1, Seconds(1), false));
    }
    const auto Action = Fixture.next(2, Seconds(10));
    REQUIRE(Action);
    CHECK(std::holds_alternative<ReadStatus>(*Action));
  }
}

TEST_CASE("a new writer keeps the time since when a version is in force") {
  WriterFixture Fixture;
  (void)Fixture.next(1, Seconds(1));
  const StatusReport Earlier{
      EntryName("b"),
      WallTime(Millis(900'000)),
      {{Self, {ConfigVersion(1), WallTime(Millis(800'000))}}}};
  Fixture.Writer_.onReadEnd(3, Earlier.text());
  const auto Action = Fixture.next(1, Seconds(10));
  REQUIRE(Action);
  const auto Written = readStatusReport(std::get<WriteStatus>(*Action).Text_);
  CHECK(Written->Entries_.at(Self).Since_ == WallTime(Millis(800'000)));
}
