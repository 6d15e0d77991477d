#include "documents.hpp"
#include "fixed_seed.hpp"

#include <medlarmoor/config/follower.hpp>
#include <medlarmoor/core/overloaded.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace medlarmoor;
using namespace medlarmoor::config;
using namespace medlarmoor::test;

namespace {

constexpr std::uint32_t Versions = 6;

/// A history of accepted documents: version N has mark N.
struct History {
  History() {
    PartSet Before;
    for (std::uint32_t Mark = 1; Mark <= Versions; ++Mark) {
      const PartSet Parts = splitParts(variant(Mark));
      Manifest Next;
      Next.Version_ = ConfigVersion(Mark);
      Next.Token_ = "token-" + std::to_string(Mark);
      for (const auto &[Id, Text] : makeIndex(idsOf(Parts))) {
        Next.Index_.push_back(Id);
        Texts_[Id] = Text;
      }
      Delta Change{ConfigVersion(Mark - 1), {}, {}};
      for (const auto &[Id, Each] : Parts) {
        Texts_[Id] = Each->Text_;
        if (Before.count(Id) == 0)
          Change.Added_.emplace(Id, Each);
      }
      for (const auto &[Id, Each] : Before)
        if (Parts.count(Id) == 0)
          Change.Removed_.push_back(Id);
      Next.Delta_ = Change;
      Manifests_.push_back(Next);
      Before = Parts;
    }
  }

  [[nodiscard]] std::string text(std::uint32_t Version,
                                 bool WithDelta = true) const {
    Manifest Out = Manifests_.at(Version - 1);
    if (!WithDelta)
      Out.Delta_.reset();
    return Out.text();
  }

  std::vector<Manifest> Manifests_;
  std::map<PartId, std::string> Texts_;
};

const History &history() {
  static const History All;
  return All;
}

const EntryName Self("a");
const EntryName Other("b");

std::vector<EntryName> entries(std::size_t Count) {
  std::vector<EntryName> Out;
  Out.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Out.emplace_back("entry-" + std::to_string(I));
  return Out;
}

/// A follower that has listened to its neighbours in vain.
struct Bench {
  Bench() { Time_->advance(Seconds(1)); }

  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  Follower Follower_{"muscat", Self, Clock(Time_), Random(5)};
};

template <typename T> std::vector<T> only(const FollowerActions &Actions) {
  std::vector<T> Out;
  for (const FollowerAction &Each : Actions)
    if (const T *Found = std::get_if<T>(&Each))
      Out.push_back(*Found);
  return Out;
}

/// Answers all reads of parts until none is asked for.
void serveParts(Follower &To, FollowerActions Actions) {
  while (!Actions.empty()) {
    FollowerActions Next;
    for (const ReadPart &Each : only<ReadPart>(Actions))
      for (FollowerAction &More :
           To.onPart(Each.Id_, history().Texts_.at(Each.Id_)))
        Next.push_back(std::move(More));
    Actions = std::move(Next);
  }
}

} // namespace

TEST_CASE("two of a domain watch the platform, the same ones for all") {
  const std::vector<EntryName> Live = entries(20);
  std::size_t Watching = 0;
  for (const EntryName &Each : Live) {
    const auto Time = std::make_shared<ManualClock>();
    Follower One("muscat", Each, Clock(Time), Random(1));
    CHECK(only<ListManifests>(One.onMembers(Live)).empty());
    Time->advance(Seconds(1));
    const auto Actions = One.onTick();
    Watching += One.watches() ? 1 : 0;
    CHECK(only<ListManifests>(Actions).size() == (One.watches() ? 1U : 0U));
  }
  CHECK(Watching == Watchers);
}

TEST_CASE("every member is told by another, and none tells more than a few") {
  const std::vector<EntryName> Live = entries(60);
  const PushTree Tree(Live, {});
  std::set<EntryName> Told;
  for (const EntryName &Each : Live) {
    const auto Children = Tree.children(Each);
    CHECK(Children.size() <= PushFanOut + Watchers - 1);
    Told.insert(Children.begin(), Children.end());
  }
  CHECK(Told.size() == Live.size());
}

TEST_CASE("members that can't reach the platform do not watch it") {
  const std::vector<EntryName> Live{Self, Other, EntryName("c"),
                                    EntryName("d")};
  const PushTree All(Live, {});
  std::set<EntryName> Deaf;
  for (const EntryName &Each : Live)
    if (All.watches(Each))
      Deaf.insert(Each);
  REQUIRE(Deaf.size() == 2);
  const PushTree Rest(Live, Deaf);
  for (const EntryName &Each : Live)
    CHECK(Rest.watches(Each) == (Deaf.count(Each) == 0));
}

TEST_CASE("a watcher adopts a change from the manifest alone and tells it") {
  Bench On;
  (void)On.Follower_.onMembers({Self, Other});
  serveParts(On.Follower_, On.Follower_.onManifest(history().text(1)));
  const auto Actions = On.Follower_.onManifest(history().text(2));
  REQUIRE(only<Publish>(Actions).size() == 1);
  CHECK(markOf(only<Publish>(Actions)[0].Document_->Environment_) == 2);
  REQUIRE(only<Tell>(Actions).size() == 1);
  CHECK(only<Tell>(Actions)[0].To_ == Other);
  CHECK(only<ReadPart>(Actions).empty());
}

TEST_CASE("a watcher that missed versions fetches only what differs") {
  Bench On;
  (void)On.Follower_.onMembers({Self, Other});
  serveParts(On.Follower_, On.Follower_.onManifest(history().text(1)));
  FollowerActions Actions = On.Follower_.onManifest(history().text(4));
  std::size_t Reads = 0;
  while (On.Follower_.replica().version() != ConfigVersion(4)) {
    const auto Wanted = only<ReadPart>(Actions);
    REQUIRE_FALSE(Wanted.empty());
    Actions.clear();
    for (const ReadPart &Each : Wanted) {
      ++Reads;
      for (FollowerAction &More :
           On.Follower_.onPart(Each.Id_, history().Texts_.at(Each.Id_)))
        Actions.push_back(std::move(More));
    }
  }
  // One part and one index part for each of the two services; the parts come
  // with the delta of the manifest.
  CHECK(Reads == 2);
  CHECK(markOf(On.Follower_.replica().inForce()->Environment_) == 4);
}

TEST_CASE("a notice is pulled at once, a heartbeat after a delay") {
  Bench On;
  (void)On.Follower_.onMembers({Self, Other});
  serveParts(On.Follower_, On.Follower_.onManifest(history().text(1)));
  CHECK(only<Pull>(On.Follower_.onHeartbeat(Other, ConfigVersion(2))).empty());
  const auto Pulls = only<Pull>(On.Follower_.onNotice(Other, ConfigVersion(2)));
  REQUIRE(Pulls.size() == 1);
  CHECK(Pulls[0].Have_ == ConfigVersion(1));
  (void)On.Follower_.onPulled(Other, std::nullopt);
  CHECK(only<Pull>(On.Follower_.onHeartbeat(Other, ConfigVersion(2))).empty());
  On.Time_->advance(Seconds(1));
  CHECK(only<Pull>(On.Follower_.onTick()).size() == 1);
}

TEST_CASE("an entry without a document starts from a neighbour's") {
  Bench Has;
  (void)Has.Follower_.onMembers({Self, Other});
  serveParts(Has.Follower_, Has.Follower_.onManifest(history().text(3, false)));
  REQUIRE(Has.Follower_.replica().version() == ConfigVersion(3));

  Follower New("muscat", Other, Clock(Has.Time_), Random(6));
  (void)New.onMembers({Self, Other});
  const auto Pulls = only<Pull>(New.onHeartbeat(Self, ConfigVersion(3)));
  REQUIRE(Pulls.size() == 1);
  const auto Actions = New.onPulled(Self, Has.Follower_.answer(Pulls[0].Have_));
  REQUIRE(only<Publish>(Actions).size() == 1);
  CHECK(markOf(only<Publish>(Actions)[0].Document_->Environment_) == 3);
}

TEST_CASE("a pull carries the change alone") {
  Bench Has;
  for (std::uint32_t Version = 1; Version <= 5; ++Version)
    serveParts(Has.Follower_,
               Has.Follower_.onManifest(history().text(Version)));
  std::string Reason;
  const auto Change =
      readManifest(Has.Follower_.answer(ConfigVersion(2)), Reason);
  REQUIRE(Change);
  CHECK(Change->Delta_->From_ == ConfigVersion(2));
  CHECK(Change->Delta_->Added_.size() == 2);
  CHECK(Has.Follower_.answer(ConfigVersion(5)).empty());
}

TEST_CASE("a watcher whose calls are not answered lets another one watch") {
  Bench On;
  const std::vector<EntryName> Live{Self, Other, EntryName("c"),
                                    EntryName("d")};
  (void)On.Follower_.onMembers(Live);
  REQUIRE(On.Follower_.watches());
  std::size_t Told = 0;
  for (int I = 0; I < 40; ++I) {
    On.Time_->advance(Millis(50));
    Told += only<TellPlatformLost>(On.Follower_.onTick()).size();
  }
  CHECK(Told == 1);
  CHECK_FALSE(On.Follower_.watches());
  // When none reaches the platform, the first two try again.
  for (const EntryName &Each : Live)
    (void)On.Follower_.onPlatformLost(Each);
  CHECK(On.Follower_.watches());
}

TEST_CASE("a silent watch is made up for by reads") {
  Bench On;
  (void)On.Follower_.onMembers({Self});
  CHECK(only<WatchManifests>(On.Follower_.onListed(1)).size() == 1);
  (void)On.Follower_.onRead(true);
  std::size_t Reads = 0;
  for (int I = 0; I < 100; ++I) {
    On.Time_->advance(Millis(50));
    const auto Actions = On.Follower_.onTick();
    CHECK(only<WatchManifests>(Actions).empty());
    if (only<ReadManifest>(Actions).empty())
      continue;
    ++Reads;
    (void)On.Follower_.onRead(true);
  }
  CHECK(Reads >= 2);
}

TEST_CASE("an entry whose lease has lapsed watches and tells nothing") {
  Bench On;
  (void)On.Follower_.onMembers({Self, Other});
  CHECK(On.Follower_.watches());
  (void)On.Follower_.onMembers({Other});
  CHECK_FALSE(On.Follower_.watches());
  const auto Actions = On.Follower_.onManifest(history().text(1));
  CHECK(only<Tell>(Actions).empty());
}

TEST_CASE("no order of messages makes a follower revert or act on a half "
          "document") {
  const bool Held = rc::check([] {
    Bench On;
    std::uint64_t Last = 0;
    const auto Check = [&Last](const FollowerActions &Actions) {
      for (const Publish &Each : only<Publish>(Actions)) {
        const std::uint64_t Version = Each.Document_->Version_.value();
        RC_ASSERT(Version > Last);
        RC_ASSERT(markOf(Each.Document_->Environment_) == Version);
        Last = Version;
      }
    };
    const int Steps = *rc::gen::inRange(10, 120);
    for (int I = 0; I < Steps; ++I) {
      const auto Version = *rc::gen::inRange<std::uint32_t>(1, Versions + 1);
      Follower &To = On.Follower_;
      switch (*rc::gen::inRange(0, 9)) {
      case 0:
        Check(To.onManifest(history().text(Version)));
        break;
      case 1:
        Check(To.onManifest(history().text(Version, false)));
        break;
      case 2:
      case 3: {
        const std::set<PartId> Missing = To.replica().missing();
        if (!Missing.empty())
          Check(To.onPart(*Missing.begin(),
                          history().Texts_.at(*Missing.begin())));
        break;
      }
      case 4: {
        // Any part at any time, also with the contents of another.
        auto At = std::next(
            history().Texts_.begin(),
            *rc::gen::inRange<std::size_t>(0, history().Texts_.size()));
        auto Content = std::next(
            history().Texts_.begin(),
            *rc::gen::inRange<std::size_t>(0, history().Texts_.size()));
        Check(To.onPart(At->first, Content->second));
        break;
      }
      case 5:
        Check(To.onNotice(Other, ConfigVersion(Version)));
        break;
      case 6:
        Check(To.onPulled(Other, history().text(Version)));
        break;
      case 7: {
        std::string Text = history().text(Version);
        Text.resize(*rc::gen::inRange<std::size_t>(0, Text.size()));
        Check(To.onPulled(Other, Text));
        break;
      }
      default:
        On.Time_->advance(Millis(*rc::gen::inRange(1, 3000)));
        Check(To.onTick());
      }
    }
  });
  CHECK(Held);
}
