#include <harness/catalog_builder.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace medlarmoor;
using namespace medlarmoor::discovery;
using namespace medlarmoor::harness;

namespace {

using State = CatalogEntry::State;
const ServiceName Web("web");

State stateOf(const Catalog &Upstreams, const std::string &Name) {
  const CatalogEntry *Found =
      Upstreams.find(affinity::tagOf(UpstreamName(Name)));
  return Found ? Found->State_ : State::Retired;
}

} // namespace

TEST_CASE(
    "an upstream that drains receives no new flows and keeps its open ones") {
  Catalog Upstreams({});
  Upstreams.apply(whole({upstream("i-1"), upstream("i-2")}), revision(1),
                  at(0));
  Upstream Draining = upstream("i-1");
  Draining.Draining_ = true;
  Upstreams.apply(listed({Draining}), revision(2), at(10));
  REQUIRE(Upstreams.candidates(Web).size() == 1);
  CHECK(Upstreams.candidates(Web)[0]->Upstream_.Name_ == UpstreamName("i-2"));
  CHECK(Upstreams.find(affinity::tagOf(UpstreamName("i-1"))) != nullptr);
}

TEST_CASE("an upstream that left is still found for its open flows") {
  Catalog Upstreams({.MaxFlowAge_ = Seconds(60)});
  Upstreams.apply(whole({upstream("i-1")}), revision(1), at(0));
  Upstreams.apply(unlisted("i-1"), revision(2), at(100));
  CHECK(Upstreams.candidates(Web).empty());
  Upstreams.expire(at(59'000));
  CHECK(Upstreams.find(affinity::tagOf(UpstreamName("i-1"))) != nullptr);
  Upstreams.expire(at(60'100));
  CHECK(Upstreams.find(affinity::tagOf(UpstreamName("i-1"))) == nullptr);
}

TEST_CASE(
    "an entry that lapsed during an outage of the store may register again") {
  Catalog Upstreams({.ReregistrationGrace_ = Seconds(2)});
  Upstreams.apply(whole({upstream("i-1"), upstream("i-2")}), revision(1),
                  at(0));
  Upstreams.storeRecovered(at(10'000));
  Upstreams.apply(whole({upstream("i-2")}), revision(9), at(10'010));
  CHECK(stateOf(Upstreams, "i-1") == State::Lapsed);
  CHECK(Upstreams.candidates(Web).size() == 2);

  SECTION("it registers again") {
    Upstreams.apply(listed({upstream("i-1")}), revision(10), at(11'000));
    Upstreams.expire(at(13'000));
    CHECK(stateOf(Upstreams, "i-1") == State::Listed);
    CHECK(Upstreams.candidates(Web).size() == 2);
  }
  SECTION("it does not register again and is retired") {
    Upstreams.expire(at(11'990));
    CHECK(Upstreams.candidates(Web).size() == 2);
    Upstreams.expire(at(12'010));
    CHECK(stateOf(Upstreams, "i-1") == State::Retired);
    CHECK(Upstreams.candidates(Web).size() == 1);
  }
}

TEST_CASE("an entry that is removed while the store is reachable is retired at "
          "once") {
  Catalog Upstreams({.ReregistrationGrace_ = Seconds(2)});
  Upstreams.apply(whole({upstream("i-1")}), revision(1), at(0));
  Upstreams.storeRecovered(at(100));
  Upstreams.apply(unlisted("i-1"), revision(2), at(2'200));
  CHECK(stateOf(Upstreams, "i-1") == State::Retired);
}

TEST_CASE("an upstream that drained before an outage is retired when its entry "
          "lapses") {
  Catalog Upstreams({});
  Upstream Draining = upstream("i-1");
  Draining.Draining_ = true;
  Upstreams.apply(whole({Draining}), revision(1), at(0));
  Upstreams.storeRecovered(at(10'000));
  Upstreams.apply(whole({}), revision(2), at(10'010));
  CHECK(stateOf(Upstreams, "i-1") == State::Retired);
}

TEST_CASE(
    "an earlier recovery of the store, reported by a peer, does not shorten "
    "the grace period") {
  Catalog Upstreams({.ReregistrationGrace_ = Seconds(2)});
  Upstreams.apply(whole({upstream("i-1")}), revision(1), at(0));
  Upstreams.storeRecovered(at(10'000));
  Upstreams.storeRecovered(at(9'000));
  Upstreams.apply(whole({}), revision(2), at(11'500));
  CHECK(stateOf(Upstreams, "i-1") == State::Lapsed);
}

TEST_CASE("of two upstreams with one tag the older receives the flows") {
  // These names have the same tag.
  const std::string First = "i-00001fc3";
  const std::string Second = "i-00004de7";
  REQUIRE(affinity::tagOf(UpstreamName(First)) ==
          affinity::tagOf(UpstreamName(Second)));
  Upstream Older = upstream(First);
  Older.CreatedRevision_ = 5;
  Upstream Younger = upstream(Second);
  Younger.CreatedRevision_ = 9;
  for (const bool OlderFirst : {true, false}) {
    Catalog Upstreams({});
    Upstreams.apply(OlderFirst ? whole({Older, Younger})
                               : whole({Younger, Older}),
                    revision(10), at(0));
    REQUIRE(Upstreams.candidates(Web).size() == 1);
    CHECK(Upstreams.candidates(Web)[0]->Upstream_.Name_ == Older.Name_);
  }
}

TEST_CASE(
    "changes sent to a peer reproduce the list that they were taken from") {
  CHECK(rc::check([] {
    Catalog Reader({});
    Catalog Peer({});
    std::map<std::string, Upstream> Store;
    std::uint64_t Revision = 1;
    std::uint64_t PeerRevision = 0;
    Reader.apply(whole({}), revision(1), at(0));
    const int Steps = *rc::gen::inRange(1, 20);
    for (int I = 0; I < Steps; ++I) {
      ++Revision;
      const std::string Name = "i-" + std::to_string(*rc::gen::inRange(0, 5));
      if (*rc::gen::arbitrary<bool>()) {
        Upstream Updated = upstream(Name);
        Updated.Slots_ = *rc::gen::inRange<std::uint32_t>(1, 4);
        // The store creates an entry that it does not have.
        const auto Stored = Store.find(Name);
        Updated.CreatedRevision_ =
            Stored == Store.end() ? Revision : Stored->second.CreatedRevision_;
        Store[Name] = Updated;
        Reader.apply(listed({Updated}), revision(Revision), at(I));
      } else {
        Store.erase(Name);
        Reader.apply(unlisted(Name), revision(Revision), at(I));
      }
      if (!*rc::gen::arbitrary<bool>())
        continue;
      Peer.apply(Reader.changesSince(revision(PeerRevision)),
                 revision(Revision), at(I));
      PeerRevision = Revision;
      const auto Candidates = Peer.candidates(Web);
      RC_ASSERT(Candidates.size() == Store.size());
      for (const CatalogEntry *Entry : Candidates)
        RC_ASSERT(Store.at(Entry->Upstream_.Name_.value()) == Entry->Upstream_);
    }
  }));
}

TEST_CASE("a peer whose revision is too old receives a full snapshot") {
  Catalog Upstreams({.MaxFlowAge_ = Seconds(60)});
  Upstreams.apply(whole({upstream("i-1"), upstream("i-2")}), revision(10),
                  at(0));
  CHECK(Upstreams.changesSince(revision(9)).IsFullSnapshot_);
  CHECK_FALSE(Upstreams.changesSince(revision(10)).IsFullSnapshot_);
  Upstreams.apply(unlisted("i-1"), revision(12), at(0));
  CHECK(Upstreams.changesSince(revision(11)).Removed_.size() == 1);
  // Once the retired entry is evicted, its removal is no longer known.
  Upstreams.expire(at(60'000));
  CHECK(Upstreams.changesSince(revision(11)).IsFullSnapshot_);
}

// Guards against an upstream that stays in use after it has left, because its
// removal was passed on by an instance that never knew it.
TEST_CASE("a removal reaches a peer through an instance that did not know the "
          "upstream") {
  Catalog Relay({});
  Catalog Peer({});
  Relay.apply(whole({upstream("i-1")}), revision(10), at(0));
  Peer.apply(whole({upstream("i-1"), upstream("i-2")}), revision(11), at(0));
  Relay.apply(unlisted("i-2"), revision(12), at(10));
  Peer.apply(Relay.changesSince(revision(11)), revision(12), at(20));
  CHECK(stateOf(Peer, "i-2") == State::Retired);
  CHECK(Peer.candidates(Web).size() == 1);
}

// Guards against an upstream that receives new flows again because an older
// copy of the store does not know that it was draining or had left.
TEST_CASE("restored store: an upstream does not return from draining or from "
          "having left") {
  Catalog Upstreams({});
  Upstream Draining = upstream("i-1");
  Upstream Left = upstream("i-2");
  Upstream Lost = upstream("i-3");
  Draining.StartedAt_ = Left.StartedAt_ = Lost.StartedAt_ =
      WallTime(Seconds(9));
  Upstreams.apply(whole({Draining, Left, Lost}), revision(10), at(0));
  const std::vector<Upstream> Copy{Draining, Left, Lost};
  Draining.Draining_ = Left.Draining_ = true;
  Upstreams.apply(listed({Draining, Left}), revision(12), at(100));
  Upstreams.apply(unlisted("i-2"), revision(13), at(200));
  Upstreams.apply(unlisted("i-3"), revision(14), at(300));

  Upstreams.storeRecovered(at(1000));
  Upstreams.apply(whole(Copy), revision(10, 2), at(1000));
  CHECK(Upstreams.candidates(Web).empty());
  CHECK(Upstreams.changesSince({}).Listed_ == std::vector{Draining});

  SECTION("a new run of an upstream that had left is used") {
    Left.StartedAt_ = WallTime(Seconds(20));
    Left.Draining_ = false;
    Upstreams.apply(listed({Left}), revision(11, 2), at(2000));
    CHECK(Upstreams.candidates(Web).size() == 1);
  }
  SECTION("an upstream that had only lapsed registers again and is used") {
    Lost.CreatedRevision_ = 11;
    Upstreams.apply(listed({Lost}), revision(11, 2), at(2000));
    CHECK(Upstreams.candidates(Web).size() == 1);
  }
}

// Guards against flows that are sent to the address of an earlier run.
TEST_CASE("restored store: an earlier run does not replace a later one") {
  Catalog Upstreams({});
  Upstream Earlier = upstream("i-1");
  Earlier.StartedAt_ = WallTime(Seconds(9));
  Upstream Later = Earlier;
  Later.StartedAt_ = WallTime(Seconds(20));
  Later.Address_ = Endpoint(Ipv4(0x0a000007), 8080);
  Upstreams.apply(whole({Later}), revision(12), at(0));
  Upstreams.storeRecovered(at(1000));
  Upstreams.apply(whole({Earlier}), revision(10, 2), at(1000));
  REQUIRE(Upstreams.candidates(Web).size() == 1);
  CHECK(Upstreams.candidates(Web)[0]->Upstream_.Address_ == Later.Address_);
  // A change in the new epoch counts, also if the clock was set back.
  Earlier.Slots_ = 4;
  Upstreams.apply(listed({Earlier}), revision(11, 2), at(1500));
  CHECK(Upstreams.candidates(Web)[0]->Upstream_ == Earlier);
}

// Guards against a peer that misses a change which was made while the list was
// read page by page: the list is of an earlier revision than its last page.
TEST_CASE(
    "a change that a list already holds is passed on to a peer whose list "
    "of the same revision lacks it") {
  Upstream Before = upstream("i-1");
  Upstream After = Before;
  After.Draining_ = true;
  Catalog Reader({});
  Catalog Peer({});
  Reader.apply(whole({After}), revision(40), at(0));
  Peer.apply(whole({Before}), revision(40), at(0));
  Reader.apply(listed({After}), revision(47), at(10));
  Peer.apply(Reader.changesSince(revision(40)), revision(47), at(20));
  CHECK(Peer.candidates(Web).empty());
  // The same holds for a removal.
  Reader.apply(whole({}), revision(50), at(30));
  Peer.apply(whole({After}), revision(50), at(30));
  Reader.apply(unlisted("i-1"), revision(52), at(40));
  Peer.apply(Reader.changesSince(revision(50)), revision(52), at(50));
  CHECK(stateOf(Peer, "i-1") == State::Retired);
}

namespace {

/// Two upstreams, created at revisions 5 and 6, whose entries another writer
/// spoils.
struct SpoiltEntries {
  SpoiltEntries() {
    First_.CreatedRevision_ = 5;
    First_.StartedAt_ = WallTime(Millis(1000));
    Second_.CreatedRevision_ = 6;
    Second_.StartedAt_ = WallTime(Millis(1000));
    Upstreams_.apply(whole({First_, Second_}), revision(10), at(0));
  }
  [[nodiscard]] std::size_t candidates() const {
    return Upstreams_.candidates(Web).size();
  }

  Upstream First_ = upstream("i-1");
  Upstream Second_ = upstream("i-2");
  Catalog Upstreams_{{}};
};

} // namespace

// Guards against upstreams that stay out of use after another writer has spoilt
// their entries for a moment.
TEST_CASE(
    "unreadable entry: no new flow goes there until it can be read again, "
    "and then at once") {
  SpoiltEntries Setup;
  Setup.Upstreams_.apply(unreadable("i-1"), revision(11), at(100));
  CHECK(Setup.candidates() == 1);
  CHECK(stateOf(Setup.Upstreams_, "i-1") == State::Listed);
  Setup.Upstreams_.apply(listed({Setup.First_}), revision(12), at(1300));
  CHECK(Setup.candidates() == 2);
}

TEST_CASE(
    "unreadable entries of a whole service: it has no upstream until they "
    "can be read again") {
  SpoiltEntries Setup;
  Setup.Upstreams_.apply(unreadable("i-1"), revision(11), at(100));
  Setup.Upstreams_.apply(unreadable("i-2"), revision(12), at(100));
  CHECK(Setup.candidates() == 0);
  Setup.Upstreams_.expire(at(90'000));
  Setup.Upstreams_.apply(listed({Setup.First_, Setup.Second_}), revision(14),
                         at(90'000));
  CHECK(Setup.candidates() == 2);
}

TEST_CASE("unreadable entry: one that is deleted meanwhile retires its "
          "upstream") {
  SpoiltEntries Setup;
  Setup.Upstreams_.apply(unreadable("i-1"), revision(11), at(100));
  Setup.Upstreams_.apply(unlisted("i-1"), revision(12), at(200));
  CHECK(stateOf(Setup.Upstreams_, "i-1") == State::Retired);
  CHECK_FALSE(Setup.Upstreams_.unreadable(UpstreamName("i-1")));
  Setup.Upstreams_.apply(listed({Setup.First_}), revision(13), at(300));
  CHECK(Setup.candidates() == 1);
}

TEST_CASE("unreadable entry: an upstream that drains goes on draining") {
  SpoiltEntries Setup;
  Upstream Draining = Setup.First_;
  Draining.Draining_ = true;
  Setup.Upstreams_.apply(listed({Draining}), revision(11), at(100));
  Setup.Upstreams_.apply(unreadable("i-1"), revision(12), at(200));
  Setup.Upstreams_.apply(listed({Setup.First_}), revision(13), at(300));
  CHECK(Setup.candidates() == 1);
}

TEST_CASE("unreadable entry in a list: the upstream is kept, also across a "
          "restore of the store") {
  for (const std::uint64_t Epoch : {1U, 2U}) {
    SpoiltEntries Setup;
    UpstreamChanges List = whole({Setup.Second_});
    List.Unreadable_ = {UpstreamName("i-1")};
    Setup.Upstreams_.apply(List, revision(11, Epoch), at(100));
    CHECK(Setup.candidates() == 1);
    CHECK(stateOf(Setup.Upstreams_, "i-1") == State::Listed);
    SECTION("it can be read in a later watch, epoch " + std::to_string(Epoch)) {
      Setup.Upstreams_.apply(listed({Setup.First_}), revision(12, Epoch),
                             at(1300));
      CHECK(Setup.candidates() == 2);
    }
    SECTION("it can be read in a later list, epoch " + std::to_string(Epoch)) {
      Setup.Upstreams_.apply(whole({Setup.First_, Setup.Second_}),
                             revision(12, Epoch), at(1300));
      CHECK(Setup.candidates() == 2);
    }
  }
}

TEST_CASE("unreadable entry: an upstream whose process started anew is used") {
  SpoiltEntries Setup;
  Setup.Upstreams_.apply(unreadable("i-1"), revision(11), at(100));
  Upstream Restarted = Setup.First_;
  Restarted.StartedAt_ = WallTime(Millis(2000));
  Restarted.CreatedRevision_ = 12;
  Setup.Upstreams_.apply(listed({Restarted}), revision(12), at(300));
  CHECK(Setup.candidates() == 2);
}

TEST_CASE("unreadable entry: peers learn that it is and that it can be read "
          "again") {
  SpoiltEntries Reader;
  SpoiltEntries Peer;
  Catalog Started({});
  Reader.Upstreams_.apply(unreadable("i-1"), revision(11), at(100));
  Peer.Upstreams_.apply(Reader.Upstreams_.changesSince(revision(10)),
                        revision(11), at(150));
  CHECK(Peer.candidates() == 1);
  CHECK(stateOf(Peer.Upstreams_, "i-1") == State::Listed);
  Started.apply(Reader.Upstreams_.changesSince({}), revision(11), at(150));
  CHECK(Started.candidates(Web).size() == 1);

  SECTION("in a watch of the reader") {
    Reader.Upstreams_.apply(listed({Reader.First_}), revision(12), at(1300));
  }
  SECTION("in a list of the reader") {
    Reader.Upstreams_.apply(whole({Reader.First_, Reader.Second_}),
                            revision(12), at(1300));
  }
  Peer.Upstreams_.apply(Reader.Upstreams_.changesSince(revision(11)),
                        revision(12), at(1350));
  CHECK(Peer.candidates() == 2);
  Started.apply(Reader.Upstreams_.changesSince(revision(11)), revision(12),
                at(1350));
  CHECK(Started.candidates(Web).size() == 2);
}
