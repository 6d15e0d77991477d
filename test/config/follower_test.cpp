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

constexpr std::uint32_t VersionCount = 6;

/// A history of accepted documents; version N has marker N.
struct History {
  History() {
    PartSet Previous;
    for (std::uint32_t Marker = 1; Marker <= VersionCount; ++Marker) {
      const PartSet Parts = splitParts(documentVariant(Marker));
      Manifest Next;
      Next.Version_ = ConfigVersion(Marker);
      Next.Token_ = "token-" + std::to_string(Marker);
      for (const auto &[Id, Text] : makeIndex(idsOf(Parts))) {
        Next.Index_.push_back(Id);
        Texts_[Id] = Text;
      }
      Delta Change{ConfigVersion(Marker - 1), {}, {}};
      for (const auto &[Id, Part] : Parts) {
        Texts_[Id] = Part->Text_;
        if (Previous.count(Id) == 0)
          Change.Added_.emplace(Id, Part);
      }
      for (const auto &[Id, Part] : Previous)
        if (Parts.count(Id) == 0)
          Change.Removed_.push_back(Id);
      Next.Delta_ = Change;
      Manifests_.push_back(Next);
      Previous = Parts;
    }
  }

  [[nodiscard]] std::string text(std::uint32_t Version,
                                 bool WithDelta = true) const {
    Manifest Selected = Manifests_.at(Version - 1);
    if (!WithDelta)
      Selected.Delta_.reset();
    return Selected.text();
  }

  std::vector<Manifest> Manifests_;
  std::map<PartId, std::string> Texts_;
};

const History &history() {
  static const History Instance;
  return Instance;
}

const EntryName Self("a");
const EntryName Other("b");

std::vector<EntryName> entries(std::size_t Count) {
  std::vector<EntryName> Names;
  Names.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Names.emplace_back("entry-" + std::to_string(I));
  return Names;
}

/// A follower that received nothing from its neighbours during its initial
/// wait.
struct FollowerFixture {
  FollowerFixture() { Time_->advance(Seconds(1)); }

  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  Follower Follower_{"muscat", Self, Clock(Time_), Random(5)};
};

/// Returns the actions of type T.
template <typename T> std::vector<T> actionsOf(const FollowerActions &Actions) {
  std::vector<T> Matches;
  for (const FollowerAction &Action : Actions)
    if (const T *Match = std::get_if<T>(&Action))
      Matches.push_back(*Match);
  return Matches;
}

/// Answers the reads of parts until none is requested.
void serveParts(Follower &Reader, FollowerActions Actions) {
  while (!Actions.empty()) {
    FollowerActions Next;
    for (const ReadPart &Read : actionsOf<ReadPart>(Actions))
      for (FollowerAction &Action :
           Reader.onPart(Read.Id_, history().Texts_.at(Read.Id_)))
        Next.push_back(std::move(Action));
    Actions = std::move(Next);
  }
}

} // namespace

TEST_CASE("all members of a failure domain select the same two watchers") {
  const std::vector<EntryName> Live = entries(20);
  std::size_t Watching = 0;
  for (const EntryName &Member : Live) {
    const auto Time = std::make_shared<ManualClock>();
    Follower Entry("muscat", Member, Clock(Time), Random(1));
    CHECK(actionsOf<ListManifests>(Entry.onMembers(Live)).empty());
    Time->advance(Seconds(1));
    const auto Actions = Entry.onTick();
    Watching += Entry.watches() ? 1 : 0;
    CHECK(actionsOf<ListManifests>(Actions).size() ==
          (Entry.watches() ? 1U : 0U));
  }
  CHECK(Watching == WatcherCount);
}

TEST_CASE(
    "every member is notified by another, and none notifies more than a few") {
  const std::vector<EntryName> Live = entries(60);
  const PushTree Tree(Live, {});
  std::set<EntryName> Notified;
  for (const EntryName &Member : Live) {
    const auto Children = Tree.children(Member);
    CHECK(Children.size() <= PushFanOut + WatcherCount - 1);
    Notified.insert(Children.begin(), Children.end());
  }
  CHECK(Notified.size() == Live.size());
}

TEST_CASE("members that can't reach the platform do not watch it") {
  const std::vector<EntryName> Live{Self, Other, EntryName("c"),
                                    EntryName("d")};
  const PushTree All(Live, {});
  std::set<EntryName> Unreachable;
  for (const EntryName &Member : Live)
    if (All.isWatcher(Member))
      Unreachable.insert(Member);
  REQUIRE(Unreachable.size() == 2);
  const PushTree Reordered(Live, Unreachable);
  for (const EntryName &Member : Live)
    CHECK(Reordered.isWatcher(Member) == (Unreachable.count(Member) == 0));
}

TEST_CASE(
    "a watcher adopts a change from the manifest alone and notifies others") {
  FollowerFixture Fixture;
  (void)Fixture.Follower_.onMembers({Self, Other});
  serveParts(Fixture.Follower_,
             Fixture.Follower_.onManifest(history().text(1)));
  const auto Actions = Fixture.Follower_.onManifest(history().text(2));
  REQUIRE(actionsOf<Publish>(Actions).size() == 1);
  CHECK(markerOf(actionsOf<Publish>(Actions)[0].Document_->Environment_) == 2);
  REQUIRE(actionsOf<NotifyMember>(Actions).size() == 1);
  CHECK(actionsOf<NotifyMember>(Actions)[0].Recipient_ == Other);
  CHECK(actionsOf<ReadPart>(Actions).empty());
}

TEST_CASE("a watcher that missed versions fetches only what differs") {
  FollowerFixture Fixture;
  (void)Fixture.Follower_.onMembers({Self, Other});
  serveParts(Fixture.Follower_,
             Fixture.Follower_.onManifest(history().text(1)));
  FollowerActions Actions = Fixture.Follower_.onManifest(history().text(4));
  std::size_t Reads = 0;
  while (Fixture.Follower_.replica().version() != ConfigVersion(4)) {
    const auto PartReads = actionsOf<ReadPart>(Actions);
    REQUIRE_FALSE(PartReads.empty());
    Actions.clear();
    for (const ReadPart &Read : PartReads) {
      ++Reads;
      for (FollowerAction &Action :
           Fixture.Follower_.onPart(Read.Id_, history().Texts_.at(Read.Id_)))
        Actions.push_back(std::move(Action));
    }
  }
  // One part and one index part for each of the two services; the parts come
  // with the delta of the manifest.
  CHECK(Reads == 2);
  CHECK(markerOf(Fixture.Follower_.replica().inForce()->Environment_) == 4);
}

TEST_CASE("a notice starts a pull at once, a heartbeat after a delay") {
  FollowerFixture Fixture;
  (void)Fixture.Follower_.onMembers({Self, Other});
  serveParts(Fixture.Follower_,
             Fixture.Follower_.onManifest(history().text(1)));
  CHECK(actionsOf<Pull>(Fixture.Follower_.onHeartbeat(Other, ConfigVersion(2)))
            .empty());
  const auto Pulls =
      actionsOf<Pull>(Fixture.Follower_.onNotice(Other, ConfigVersion(2)));
  REQUIRE(Pulls.size() == 1);
  CHECK(Pulls[0].HeldVersion_ == ConfigVersion(1));
  (void)Fixture.Follower_.onPullEnd(Other, std::nullopt);
  CHECK(actionsOf<Pull>(Fixture.Follower_.onHeartbeat(Other, ConfigVersion(2)))
            .empty());
  Fixture.Time_->advance(Seconds(1));
  CHECK(actionsOf<Pull>(Fixture.Follower_.onTick()).size() == 1);
}

TEST_CASE("an entry without a document adopts the document of a neighbour") {
  FollowerFixture Holder;
  (void)Holder.Follower_.onMembers({Self, Other});
  serveParts(Holder.Follower_,
             Holder.Follower_.onManifest(history().text(3, false)));
  REQUIRE(Holder.Follower_.replica().version() == ConfigVersion(3));

  Follower New("muscat", Other, Clock(Holder.Time_), Random(6));
  (void)New.onMembers({Self, Other});
  const auto Pulls = actionsOf<Pull>(New.onHeartbeat(Self, ConfigVersion(3)));
  REQUIRE(Pulls.size() == 1);
  const auto Actions =
      New.onPullEnd(Self, Holder.Follower_.pullAnswer(Pulls[0].HeldVersion_));
  REQUIRE(actionsOf<Publish>(Actions).size() == 1);
  CHECK(markerOf(actionsOf<Publish>(Actions)[0].Document_->Environment_) == 3);
}

TEST_CASE("a pull transfers only the changes") {
  FollowerFixture Holder;
  for (std::uint32_t Version = 1; Version <= 5; ++Version)
    serveParts(Holder.Follower_,
               Holder.Follower_.onManifest(history().text(Version)));
  std::string Reason;
  const auto Change =
      readManifest(Holder.Follower_.pullAnswer(ConfigVersion(2)), Reason);
  REQUIRE(Change);
  CHECK(Change->Delta_->BaseVersion_ == ConfigVersion(2));
  CHECK(Change->Delta_->Added_.size() == 2);
  CHECK(Holder.Follower_.pullAnswer(ConfigVersion(5)).empty());
}

TEST_CASE("a watcher whose calls stay unanswered lets another member watch") {
  FollowerFixture Fixture;
  const std::vector<EntryName> Live{Self, Other, EntryName("c"),
                                    EntryName("d")};
  (void)Fixture.Follower_.onMembers(Live);
  REQUIRE(Fixture.Follower_.watches());
  std::size_t Announcements = 0;
  for (int I = 0; I < 40; ++I) {
    Fixture.Time_->advance(Millis(50));
    Announcements +=
        actionsOf<AnnouncePlatformLoss>(Fixture.Follower_.onTick()).size();
  }
  CHECK(Announcements == 1);
  CHECK_FALSE(Fixture.Follower_.watches());
  // If no member reaches the platform, the first two members watch it again.
  for (const EntryName &Member : Live)
    (void)Fixture.Follower_.onPlatformLost(Member);
  CHECK(Fixture.Follower_.watches());
}

TEST_CASE("the manifest is read periodically while a watch is silent") {
  FollowerFixture Fixture;
  (void)Fixture.Follower_.onMembers({Self});
  CHECK(actionsOf<WatchManifests>(
            Fixture.Follower_.onListEnd(StoreRevision{StoreEpoch(1), 1}))
            .size() == 1);
  (void)Fixture.Follower_.onReadEnd(true);
  std::size_t Reads = 0;
  for (int I = 0; I < 100; ++I) {
    Fixture.Time_->advance(Millis(50));
    const auto Actions = Fixture.Follower_.onTick();
    CHECK(actionsOf<WatchManifests>(Actions).empty());
    if (actionsOf<ReadManifest>(Actions).empty())
      continue;
    ++Reads;
    (void)Fixture.Follower_.onReadEnd(true);
  }
  CHECK(Reads >= 2);
}

// Guards against a watch that goes on from a revision of the lost history.
TEST_CASE("restored platform: the manifests are listed again") {
  FollowerFixture Fixture;
  (void)Fixture.Follower_.onMembers({Self});
  const StoreRevision Lost{StoreEpoch(1), 9};
  REQUIRE(actionsOf<WatchManifests>(Fixture.Follower_.onListEnd(Lost)).size() ==
          1);
  const auto Actions =
      Fixture.Follower_.onWatchEnd(StoreRevision{StoreEpoch(2), 12});
  CHECK(actionsOf<WatchManifests>(Actions).empty());
  CHECK(actionsOf<ListManifests>(Actions).size() == 1);
}

TEST_CASE("an entry whose lease has lapsed neither watches nor notifies") {
  FollowerFixture Fixture;
  (void)Fixture.Follower_.onMembers({Self, Other});
  CHECK(Fixture.Follower_.watches());
  (void)Fixture.Follower_.onMembers({Other});
  CHECK_FALSE(Fixture.Follower_.watches());
  const auto Actions = Fixture.Follower_.onManifest(history().text(1));
  CHECK(actionsOf<NotifyMember>(Actions).empty());
}

TEST_CASE("no order of messages makes a follower revert or publish an "
          "incomplete document") {
  const bool PropertyHolds = rc::check([] {
    FollowerFixture Fixture;
    std::uint64_t LastVersion = 0;
    const auto Check = [&LastVersion](const FollowerActions &Actions) {
      for (const Publish &Published : actionsOf<Publish>(Actions)) {
        const std::uint64_t Version = Published.Document_->Version_.value();
        RC_ASSERT(Version > LastVersion);
        RC_ASSERT(markerOf(Published.Document_->Environment_) == Version);
        LastVersion = Version;
      }
    };
    const int Steps = *rc::gen::inRange(10, 120);
    for (int I = 0; I < Steps; ++I) {
      const auto Version =
          *rc::gen::inRange<std::uint32_t>(1, VersionCount + 1);
      Follower &Subject = Fixture.Follower_;
      switch (*rc::gen::inRange(0, 9)) {
      case 0:
        Check(Subject.onManifest(history().text(Version)));
        break;
      case 1:
        Check(Subject.onManifest(history().text(Version, false)));
        break;
      case 2:
      case 3: {
        const std::set<PartId> Missing = Subject.replica().missingParts();
        if (!Missing.empty())
          Check(Subject.onPart(*Missing.begin(),
                               history().Texts_.at(*Missing.begin())));
        break;
      }
      case 4: {
        // Any part at any time, possibly with the contents of another part.
        auto Named = std::next(
            history().Texts_.begin(),
            *rc::gen::inRange<std::size_t>(0, history().Texts_.size()));
        auto Content = std::next(
            history().Texts_.begin(),
            *rc::gen::inRange<std::size_t>(0, history().Texts_.size()));
        Check(Subject.onPart(Named->first, Content->second));
        break;
      }
      case 5:
        Check(Subject.onNotice(Other, ConfigVersion(Version)));
        break;
      case 6:
        Check(Subject.onPullEnd(Other, history().text(Version)));
        break;
      case 7: {
        std::string Text = history().text(Version);
        Text.resize(*rc::gen::inRange<std::size_t>(0, Text.size()));
        Check(Subject.onPullEnd(Other, Text));
        break;
      }
      default:
        Fixture.Time_->advance(Millis(*rc::gen::inRange(1, 3000)));
        Check(Subject.onTick());
      }
    }
  });
  CHECK(PropertyHolds);
}
