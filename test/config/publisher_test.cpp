#include "documents.hpp"
#include "fake_store.hpp"

#include <medlarmoor/config/publisher.hpp>
#include <medlarmoor/config/replica.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/core/random.hpp>

#include <catch2/catch.hpp>

#include <deque>

using namespace medlarmoor;
using namespace medlarmoor::config;
using namespace medlarmoor::test;

namespace {

constexpr Seconds Timeout{10};

/// The probability of each fault in percent.
struct Faults {
  unsigned LostAnswerPercent_ = 0;
  unsigned LostRequestPercent_ = 0;
  unsigned StaleReadPercent_ = 0;
};

/// Runs one publisher step by step against a store.
class PublisherRun {
public:
  PublisherRun(FakeStore &Store, std::shared_ptr<ManualClock> Time,
               Random &Source, Faults FaultRates, std::uint32_t Marker,
               std::optional<ConfigVersion> Expected = {})
      : Store_(Store), Time_(Time), Source_(Source), Faults_(FaultRates),
        Publisher_({splitParts(documentVariant(Marker)), Expected, std::nullopt,
                    "token-" + std::to_string(Marker)},
                   Clock(Time), Timeout) {
    schedule(Publisher_.start());
  }

  /// Performs one step. Returns false if the publisher has finished.
  bool step() {
    if (Result_ || Pending_.empty())
      return false;
    const PublisherStep Next = Pending_.front();
    Pending_.pop_front();
    Time_->advance(Next.After_ + Millis(1));
    const PublisherSteps Ended = Publisher_.onEpoch(StoreEpoch(Store_.epoch()));
    if (Ended.empty())
      std::visit([this](const auto &Action) { perform(Action); }, Next.Action_);
    else
      perform(std::get<PublishResult>(Ended.front().Action_));
    return !Result_;
  }

  std::optional<PublishResult> Result_;

private:
  bool chance(unsigned Percent) {
    return std::uniform_int_distribution<unsigned>(0, 99)(Source_) < Percent;
  }

  void schedule(const PublisherSteps &Steps) {
    Pending_.insert(Pending_.end(), Steps.begin(), Steps.end());
  }

  FakeStore::State read(const std::string &Name) {
    return Store_.get(Name, chance(Faults_.StaleReadPercent_) ? 1 : 0);
  }

  void perform(const ReadCurrentManifest &) {
    if (chance(Faults_.LostRequestPercent_))
      return schedule(Publisher_.onManifestReadFailed("no answer"));
    const auto State = read("manifest");
    schedule(Publisher_.onManifest(State.Version_, State.Text_));
  }

  void perform(const ReadIndexPart &Action) {
    const auto State = Store_.get(Action.Id_.value());
    const bool Found =
        State.Version_ != 0 && !chance(Faults_.LostRequestPercent_);
    schedule(Publisher_.onIndexPart(
        Action.Id_, Found ? std::optional(State.Text_) : std::nullopt));
  }

  void perform(const StorePart &Action) {
    if (!chance(Faults_.LostRequestPercent_))
      Store_.put(Action.Id_.value(), Action.Text_, 0);
    if (chance(Faults_.LostAnswerPercent_))
      return schedule(Publisher_.onPartUncertain(Action.Id_, "no answer"));
    if (Store_.get(Action.Id_.value()).Version_ == 0)
      return schedule(Publisher_.onPartUncertain(Action.Id_, "no answer"));
    schedule(Publisher_.onPartStored(Action.Id_));
  }

  void perform(const StoreManifest &Action) {
    if (chance(Faults_.LostRequestPercent_))
      return schedule(Publisher_.onManifestUncertain());
    const bool Stored = Store_.put("manifest", Action.Text_, Action.IfVersion_);
    if (chance(Faults_.LostAnswerPercent_))
      return schedule(Publisher_.onManifestUncertain());
    schedule(Stored ? Publisher_.onManifestStored()
                    : Publisher_.onManifestConflict());
  }

  void perform(const PublishResult &Outcome) { Result_ = Outcome; }

  FakeStore &Store_;
  std::shared_ptr<ManualClock> Time_;
  Random &Source_;
  Faults Faults_;
  Publisher Publisher_;
  std::deque<PublisherStep> Pending_;
};

struct PublisherFixture {
  FakeStore Store_;
  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  Random Source_{7};

  PublishResult publish(std::uint32_t Marker,
                        std::optional<ConfigVersion> Expected = {}) {
    PublisherRun Run(Store_, Time_, Source_, {}, Marker, Expected);
    while (Run.step())
      ;
    return *Run.Result_;
  }
};

/// Returns the tokens of all accepted manifests, oldest first.
std::vector<std::string> tokens(const FakeStore &Store) {
  std::vector<std::string> Tokens;
  std::string Reason;
  for (const FakeStore::State &State : Store.history("manifest"))
    Tokens.push_back(readManifest(State.Text_, Reason).value().Token_);
  return Tokens;
}

} // namespace

TEST_CASE("each accepted document gets the next version") {
  PublisherFixture Fixture;
  CHECK(std::get<Published>(Fixture.publish(1)).Version_ == ConfigVersion(1));
  CHECK(std::get<Published>(Fixture.publish(2)).Version_ == ConfigVersion(2));
  CHECK(std::get<Unchanged>(Fixture.publish(2)).Version_ == ConfigVersion(2));
}

TEST_CASE(
    "a write is rejected if the current version is not the expected one") {
  PublisherFixture Fixture;
  Fixture.publish(1);
  Fixture.publish(2);
  CHECK(std::get<VersionConflict>(Fixture.publish(3, ConfigVersion(1)))
            .Version_ == ConfigVersion(2));
  CHECK(std::get<Published>(Fixture.publish(3, ConfigVersion(2))).Version_ ==
        ConfigVersion(3));
}

TEST_CASE("the manifest carries a small change as a delta") {
  PublisherFixture Fixture;
  Fixture.publish(1);
  Fixture.publish(2);
  std::string Reason;
  const auto Read = readManifest(Fixture.Store_.get("manifest").Text_, Reason);
  REQUIRE(Read);
  REQUIRE(Read->Delta_);
  CHECK(Read->Delta_->BaseVersion_ == ConfigVersion(1));
  CHECK(Read->Delta_->Added_.size() == 2);
  CHECK(Read->Delta_->Removed_.size() == 2);
}

// Guards against writes that are lost or applied twice when answers are lost
// and reads are stale: a write reported as accepted is stored exactly once, and
// one reported as not written is not stored at all.
TEST_CASE("concurrent writers with lost answers and stale reads neither lose "
          "nor repeat a write") {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    INFO("seed " << Seed);
    FakeStore Store;
    const auto Time = std::make_shared<ManualClock>();
    Random Source(Seed);
    std::vector<std::unique_ptr<PublisherRun>> Runs;
    for (std::uint32_t Marker = 1; Marker <= 8; ++Marker)
      Runs.push_back(std::make_unique<PublisherRun>(
          Store, Time, Source, Faults{20, 10, 30}, Marker));
    std::uniform_int_distribution<std::size_t> Choice(0, Runs.size() - 1);
    for (int Step = 0; Step < 20'000; ++Step)
      Runs[Choice(Source)]->step();
    std::size_t Accepted = 0;
    const auto Tokens = tokens(Store);
    for (std::uint32_t Marker = 1; Marker <= 8; ++Marker) {
      const auto &Result = Runs[Marker - 1]->Result_;
      REQUIRE(Result);
      const auto Count = std::count(Tokens.begin(), Tokens.end(),
                                    "token-" + std::to_string(Marker));
      std::visit(Overloaded{[&](const Published &Outcome) {
                              CHECK(Count == 1);
                              CHECK(Tokens.at(Outcome.Version_.value() - 1) ==
                                    "token-" + std::to_string(Marker));
                              ++Accepted;
                            },
                            [&](const Uncertain &) { CHECK(Count <= 1); },
                            [&](const auto &) { CHECK(Count == 0); }},
                 *Result);
    }
    CHECK(Accepted >= 1);
  }
}

TEST_CASE(
    "one of twenty concurrent writers that expect the same version wins") {
  PublisherFixture Fixture;
  Fixture.publish(99);
  std::vector<std::unique_ptr<PublisherRun>> Runs;
  for (std::uint32_t Marker = 1; Marker <= 20; ++Marker)
    Runs.push_back(std::make_unique<PublisherRun>(Fixture.Store_, Fixture.Time_,
                                                  Fixture.Source_, Faults{},
                                                  Marker, ConfigVersion(1)));
  for (bool Busy = true; Busy;) {
    Busy = false;
    for (const auto &Run : Runs)
      Busy = Run->step() || Busy;
  }
  std::size_t Won = 0;
  for (const auto &Run : Runs)
    if (std::holds_alternative<Published>(*Run->Result_))
      ++Won;
    else
      CHECK(std::get<VersionConflict>(*Run->Result_).Version_ ==
            ConfigVersion(2));
  CHECK(Won == 1);
  CHECK(Fixture.Store_.history("manifest").size() == 2);
}

namespace {

/// Offers the store's manifest to an entry and hands it the parts that it asks
/// for.
void follow(Replica &Entry, const FakeStore &Store) {
  std::string Reason;
  (void)Entry.setTarget(*readManifest(Store.get("manifest").Text_, Reason));
  while (!Entry.missingParts().empty()) {
    const PartId Id = *Entry.missingParts().begin();
    (void)Entry.addPart(Id, Store.get(Id.value()).Text_);
  }
}

} // namespace

// Guards against a document that is accepted and never in force: its version
// was given out before the platform lost it, and entries take no older one.
TEST_CASE("restored platform: the next document is in force at entries that "
          "have later versions") {
  for (const std::uint32_t Next : {4U, 1U}) {
    PublisherFixture Fixture;
    Replica Entry("muscat");
    Fixture.publish(1);
    const std::size_t Copied = Fixture.Store_.writes();
    Fixture.publish(2);
    Fixture.publish(3);
    follow(Entry, Fixture.Store_);
    REQUIRE(Entry.version() == ConfigVersion(3));
    Fixture.Store_.restore(Fixture.Store_.writes() - Copied);
    // The copy itself replaces nothing.
    follow(Entry, Fixture.Store_);
    CHECK(Entry.version() == ConfigVersion(3));
    // Also a document that the copy holds already must replace the lost one.
    const auto Accepted = std::get<Published>(Fixture.publish(Next));
    CHECK(Accepted.Version_ > ConfigVersion(3));
    follow(Entry, Fixture.Store_);
    CHECK(Entry.version() == Accepted.Version_);
    CHECK(markerOf(Entry.inForce()->Environment_) == Next);
    CHECK(std::get<Published>(Fixture.publish(5)).Version_.value() ==
          Accepted.Version_.value() + 1);
  }
}

// Guards against a document that refers to lost parts, or replaces one that it
// was not derived from.
TEST_CASE("restored platform: a write that it interrupts is not reported as "
          "accepted") {
  PublisherFixture Fixture;
  Fixture.publish(1);
  const std::size_t Copied = Fixture.Store_.writes();
  std::size_t Interrupted = 0;
  for (int Steps = 1; Steps < 12; ++Steps) {
    PublisherRun Run(Fixture.Store_, Fixture.Time_, Fixture.Source_, {}, 2);
    bool Busy = true;
    for (int I = 0; I < Steps && Busy; ++I)
      Busy = Run.step();
    Fixture.Store_.restore(Fixture.Store_.writes() - Copied);
    if (!Busy)
      break;
    while (Run.step())
      ;
    ++Interrupted;
    // Once the manifest was sent, it may have been stored before the restore.
    const bool IsUncertain = std::holds_alternative<Uncertain>(*Run.Result_);
    CHECK((IsUncertain || std::holds_alternative<NotWritten>(*Run.Result_)));
    CHECK(Fixture.Store_.history("manifest").size() == 1);
  }
  CHECK(Interrupted > 2);
}
