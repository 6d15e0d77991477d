#include "documents.hpp"
#include "fake_store.hpp"

#include <medlarmoor/config/publisher.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/core/random.hpp>

#include <catch2/catch.hpp>

#include <deque>

using namespace medlarmoor;
using namespace medlarmoor::config;
using namespace medlarmoor::test;

namespace {

constexpr Seconds Patience{10};

/// What goes wrong, each with this chance in a hundred.
struct Faults {
  unsigned LostAnswer_ = 0;
  unsigned LostRequest_ = 0;
  unsigned StaleRead_ = 0;
};

/// One publisher whose steps are carried out one at a time against a store.
class Run {
public:
  Run(FakeStore &Store, std::shared_ptr<ManualClock> Time, Random &Source,
      Faults Given, std::uint32_t Mark, std::optional<ConfigVersion> Seen = {})
      : Store_(Store), Time_(Time), Source_(Source), Faults_(Given),
        Publisher_({splitParts(variant(Mark)), Seen, std::nullopt,
                    "token-" + std::to_string(Mark)},
                   Clock(Time), Patience) {
    take(Publisher_.start());
  }

  /// Carries out one step; false when the publisher has finished.
  bool step() {
    if (Result_ || Waiting_.empty())
      return false;
    const PublisherStep Next = Waiting_.front();
    Waiting_.pop_front();
    Time_->advance(Next.After_ + Millis(1));
    std::visit([this](const auto &Each) { perform(Each); }, Next.Action_);
    return !Result_;
  }

  std::optional<PublishResult> Result_;

private:
  bool chance(unsigned Percent) {
    return std::uniform_int_distribution<unsigned>(0, 99)(Source_) < Percent;
  }

  void take(const PublisherSteps &Steps) {
    Waiting_.insert(Waiting_.end(), Steps.begin(), Steps.end());
  }

  FakeStore::State read(const std::string &Name) {
    return Store_.get(Name, chance(Faults_.StaleRead_) ? 1 : 0);
  }

  void perform(const ReadPublished &) {
    if (chance(Faults_.LostRequest_))
      return take(Publisher_.onManifestUnread("no answer"));
    const auto State = read("manifest");
    take(Publisher_.onManifest(State.Version_, State.Text_));
  }

  void perform(const ReadIndexPart &Each) {
    const auto State = Store_.get(Each.Id_.value());
    const bool Found = State.Version_ != 0 && !chance(Faults_.LostRequest_);
    take(Publisher_.onIndexPart(Each.Id_, Found ? std::optional(State.Text_)
                                                : std::nullopt));
  }

  void perform(const StorePart &Each) {
    if (!chance(Faults_.LostRequest_))
      Store_.put(Each.Id_.value(), Each.Text_, 0);
    if (chance(Faults_.LostAnswer_))
      return take(Publisher_.onPartLost(Each.Id_, "no answer"));
    if (Store_.get(Each.Id_.value()).Version_ == 0)
      return take(Publisher_.onPartLost(Each.Id_, "no answer"));
    take(Publisher_.onPartStored(Each.Id_));
  }

  void perform(const StoreManifest &Each) {
    if (chance(Faults_.LostRequest_))
      return take(Publisher_.onManifestLost());
    const bool Stored = Store_.put("manifest", Each.Text_, Each.IfVersion_);
    if (chance(Faults_.LostAnswer_))
      return take(Publisher_.onManifestLost());
    take(Stored ? Publisher_.onManifestStored()
                : Publisher_.onManifestConflict());
  }

  void perform(const PublishResult &Each) { Result_ = Each; }

  FakeStore &Store_;
  std::shared_ptr<ManualClock> Time_;
  Random &Source_;
  Faults Faults_;
  Publisher Publisher_;
  std::deque<PublisherStep> Waiting_;
};

struct Bench {
  FakeStore Store_;
  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  Random Source_{7};

  PublishResult publish(std::uint32_t Mark,
                        std::optional<ConfigVersion> Seen = {}) {
    Run Each(Store_, Time_, Source_, {}, Mark, Seen);
    while (Each.step())
      ;
    return *Each.Result_;
  }
};

std::vector<std::string> tokens(const FakeStore &Store) {
  std::vector<std::string> Out;
  std::string Reason;
  for (const FakeStore::State &Each : Store.history("manifest"))
    Out.push_back(readManifest(Each.Text_, Reason).value().Token_);
  return Out;
}

} // namespace

TEST_CASE("each accepted document has the next version") {
  Bench On;
  CHECK(std::get<Published>(On.publish(1)).Version_ == ConfigVersion(1));
  CHECK(std::get<Published>(On.publish(2)).Version_ == ConfigVersion(2));
  CHECK(std::get<Unchanged>(On.publish(2)).Version_ == ConfigVersion(2));
}

TEST_CASE("a write over another version than the one seen is refused") {
  Bench On;
  On.publish(1);
  On.publish(2);
  CHECK(std::get<Overtaken>(On.publish(3, ConfigVersion(1))).Version_ ==
        ConfigVersion(2));
  CHECK(std::get<Published>(On.publish(3, ConfigVersion(2))).Version_ ==
        ConfigVersion(3));
}

TEST_CASE("a change carries itself in the manifest") {
  Bench On;
  On.publish(1);
  On.publish(2);
  std::string Reason;
  const auto Read = readManifest(On.Store_.get("manifest").Text_, Reason);
  REQUIRE(Read);
  REQUIRE(Read->Delta_);
  CHECK(Read->Delta_->From_ == ConfigVersion(1));
  CHECK(Read->Delta_->Added_.size() == 2);
  CHECK(Read->Delta_->Removed_.size() == 2);
}

// Whatever is lost or old: a write that is reported accepted is there exactly
// once, one that is reported refused is not there at all.
TEST_CASE("racing writers with lost answers and old reads lose and double "
          "nothing") {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    INFO("seed " << Seed);
    FakeStore Store;
    const auto Time = std::make_shared<ManualClock>();
    Random Source(Seed);
    std::vector<std::unique_ptr<Run>> Runs;
    for (std::uint32_t Mark = 1; Mark <= 8; ++Mark)
      Runs.push_back(
          std::make_unique<Run>(Store, Time, Source, Faults{20, 10, 30}, Mark));
    std::uniform_int_distribution<std::size_t> Choice(0, Runs.size() - 1);
    for (int Step = 0; Step < 20'000; ++Step)
      Runs[Choice(Source)]->step();
    std::size_t Accepted = 0;
    const auto Tokens = tokens(Store);
    for (std::uint32_t Mark = 1; Mark <= 8; ++Mark) {
      const auto &Result = Runs[Mark - 1]->Result_;
      REQUIRE(Result);
      const auto Count = std::count(Tokens.begin(), Tokens.end(),
                                    "token-" + std::to_string(Mark));
      std::visit(Overloaded{[&](const Published &Each) {
                              CHECK(Count == 1);
                              CHECK(Tokens.at(Each.Version_.value() - 1) ==
                                    "token-" + std::to_string(Mark));
                              ++Accepted;
                            },
                            [&](const Uncertain &) { CHECK(Count <= 1); },
                            [&](const auto &) { CHECK(Count == 0); }},
                 *Result);
    }
    CHECK(Accepted >= 1);
  }
}

TEST_CASE("one of twenty racing writers of one version wins") {
  Bench On;
  On.publish(99);
  std::vector<std::unique_ptr<Run>> Runs;
  for (std::uint32_t Mark = 1; Mark <= 20; ++Mark)
    Runs.push_back(std::make_unique<Run>(On.Store_, On.Time_, On.Source_,
                                         Faults{}, Mark, ConfigVersion(1)));
  for (bool Busy = true; Busy;) {
    Busy = false;
    for (const auto &Each : Runs)
      Busy = Each->step() || Busy;
  }
  std::size_t Won = 0;
  for (const auto &Each : Runs)
    if (std::holds_alternative<Published>(*Each->Result_))
      ++Won;
    else
      CHECK(std::get<Overtaken>(*Each->Result_).Version_ == ConfigVersion(2));
  CHECK(Won == 1);
  CHECK(On.Store_.history("manifest").size() == 2);
}
