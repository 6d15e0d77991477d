#include <harness/sync_fleet.hpp>

#include <medlarmoor/edge/store_timing.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarmoor;
using medlarmoor::harness::SyncFleet;

namespace {

constexpr Millis Bound{3000};
/// A change must be known everywhere within this time.
constexpr Millis Budget = Bound * 8 / 10;
constexpr std::size_t Upstreams = 0;
constexpr std::size_t Routes = 1;

SyncFleet::Options fleet(std::size_t Instances, std::uint64_t Seed = 1) {
  SyncFleet::Options Setup;
  Setup.Instances_ = Instances;
  Setup.Reading_ = edge::followerTiming(Bound);
  Setup.Freshness_ = edge::freshnessTiming(Bound);
  Setup.Seed_ = Seed;
  return Setup;
}

std::size_t countAccepting(const SyncFleet &Fleet, const std::string &Name) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Count += Fleet.accepts(I, Name) ? 1 : 0;
  return Count;
}

/// Returns the number of instances that have older routes in force than the
/// operator's last ones.
std::size_t countOutdated(const SyncFleet &Fleet) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Count += Fleet.routeVersion(I) == Fleet.lastVersion() ? 0 : 1;
  return Count;
}

} // namespace

// Guards against an instance that takes a revision of the lost history, which
// a peer still announces, for newer than the returned store, and then misses
// the change that the store gives out at that revision.
TEST_CASE("restored store: a change at a revision that is given out again is "
          "in force at all instances") {
  for (const std::size_t Size : {5U, 30U, 118U})
    for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
      SyncFleet Fleet(fleet(Size, Seed));
      Fleet.run(Millis(8000));
      for (int I = 0; I < 3; ++I) {
        Fleet.change(Routes);
        Fleet.run(Millis(3000));
      }
      Fleet.restore(Millis(9000), Millis(2000));
      Fleet.run(Millis(6500));
      Fleet.change(Routes);
      Fleet.run(Millis(500));
      Fleet.change(Upstreams);
      Fleet.run(2 * Bound);
      INFO(Size << " instances, seed " << Seed);
      CHECK(Fleet.worstDelay() <= Budget);
      CHECK(countOutdated(Fleet) == 0);
    }
}

// Guards against a watch that goes on from a revision of the lost history once
// the returned store has given out as many revisions again.
TEST_CASE("restored store: a watch does not skip the changes that were made "
          "while it was away") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    SyncFleet Fleet(fleet(1, Seed));
    Fleet.run(Millis(5000));
    for (int I = 0; I < 3; ++I) {
      Fleet.change(Routes);
      Fleet.run(Millis(500));
    }
    Fleet.restore(Millis(1800), Millis(200));
    Fleet.after(Millis(230), [&Fleet] {
      Fleet.change(Routes);
      for (int I = 0; I < 4; ++I)
        Fleet.change(Upstreams);
    });
    Fleet.run(4 * Bound);
    INFO("seed " << Seed);
    CHECK(countOutdated(Fleet) == 0);
  }
}

// Guards against routes that a peer computed from another table than the one
// that they are applied to.
TEST_CASE("restored store: an instance that restarts has the routes of their "
          "version") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    SyncFleet Fleet(fleet(8, Seed));
    Fleet.run(Millis(5000));
    for (int I = 0; I < 4; ++I) {
      Fleet.change(Routes);
      Fleet.run(Millis(700));
    }
    Fleet.restore(Millis(2500), Millis(1000), Millis(100 * Seed));
    for (std::size_t I = 0; I < Fleet.size(); I += 2)
      Fleet.kill(I, Millis(800 + 40 * static_cast<std::int64_t>(I)));
    Fleet.run(Millis(8000));
    INFO("seed " << Seed);
    CHECK(Fleet.regressions() == 0);
    CHECK(countOutdated(Fleet) == 0);
  }
}

// Guards against an instance that serves the older routes of the copy, which it
// has read at its start, although its peers have newer ones in force.
TEST_CASE("restored store: an instance that starts before the operator has "
          "written again takes the newer routes of its peers") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    SyncFleet Fleet(fleet(8, Seed));
    Fleet.run(Millis(5000));
    Fleet.change(Routes);
    Fleet.run(Millis(1000));
    Fleet.restore(Millis(2000), Millis(500), Millis(6000));
    Fleet.kill(0, Millis(700));
    Fleet.run(Millis(2000));
    INFO("seed " << Seed);
    CHECK(Fleet.routeVersion(0) == Fleet.lastVersion());
  }
}

// Guards against an upstream that receives new flows again because the copy of
// the store does not know that it was draining or had left.
TEST_CASE("restored store: an upstream that was draining or had left receives "
          "no new flows") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    SyncFleet Fleet(fleet(8, Seed));
    const std::string Draining = Fleet.startUpstream();
    const std::string Gone = Fleet.startUpstream();
    Fleet.run(Millis(5000));
    Fleet.drain(Draining);
    Fleet.drain(Gone);
    Fleet.run(Millis(3000));
    Fleet.leave(Gone);
    Fleet.run(Millis(1000));
    Fleet.restore(Millis(5000), Millis(500));
    Fleet.run(Millis(8000));
    INFO("seed " << Seed);
    CHECK(Fleet.regressions() == 0);
    CHECK(countAccepting(Fleet, Draining) == 0);
    CHECK(countAccepting(Fleet, Gone) == 0);
  }
}

// Guards against an upstream that is taken for gone because the copy of the
// store is older than its registration.
TEST_CASE("restored store: an upstream that registered after the copy was made "
          "stays in use") {
  for (const Millis Downtime : {Millis(50), Millis(300), Millis(2000)})
    for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
      SyncFleet Fleet(fleet(8, Seed));
      Fleet.run(Millis(5000));
      const std::string Started = Fleet.startUpstream();
      Fleet.run(Millis(3000));
      REQUIRE(countAccepting(Fleet, Started) == 8);
      Fleet.restore(Millis(4000), Downtime);
      std::size_t Fewest = 8;
      for (int Ms = 0; Ms < 8000; Ms += 50) {
        Fleet.run(Millis(50));
        Fewest = std::min(Fewest, countAccepting(Fleet, Started));
      }
      INFO("seed " << Seed << ", away for " << Downtime.count() << " ms");
      CHECK(Fewest == 8);
    }
}

// Guards against faults that need a restore together with another trouble, or
// two restores in a row.
TEST_CASE("restored store: restores of any age with kills, cuts, pauses, "
          "refusals, leaving upstreams and storms of changes") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SyncFleet::Options Setup = fleet(4 + (Seed * 17) % 40, Seed);
    Setup.Loss_ = Seed % 4 == 0 ? 0.2 : 0.02;
    Setup.PageSize_ = Seed % 3 == 0 ? 2 : 500;
    SyncFleet Fleet(Setup);
    Random Choice(Seed);
    std::vector<std::string> Leaving;
    Fleet.run(Millis(4000));
    for (int Step = 0; Step < 60; ++Step) {
      const std::size_t Victim = Choice() % Fleet.size();
      const Millis Duration(Choice() % (2 * Bound.count()));
      switch (Choice() % 10) {
      case 0:
      case 1:
        Fleet.restore(Millis(Choice() % 12'000), Millis(Choice() % 2500),
                      Millis(Choice() % 400));
        break;
      case 2:
        Fleet.kill(Victim, Duration);
        break;
      case 3:
        Fleet.pause(Victim, Duration);
        break;
      case 4:
        Fleet.cut(Victim, true, Choice() % 2 == 0, Duration);
        break;
      case 5:
        Fleet.refuse(Victim, Duration);
        break;
      case 6:
        Leaving.push_back(Fleet.startUpstream());
        break;
      case 7:
        if (!Leaving.empty())
          Fleet.drain(Leaving.back());
        break;
      case 8:
        if (!Leaving.empty()) {
          Fleet.drain(Leaving.back());
          Fleet.leave(Leaving.back());
          Leaving.pop_back();
        }
        break;
      default:
        for (int I = 0; I < 12; ++I)
          Fleet.after(Millis(I * 100), [&Fleet] { Fleet.change(Routes); });
        break;
      }
      Fleet.change(Choice() % 2);
      Fleet.run(Millis(Choice() % 1500));
    }
    Fleet.run(4 * Bound);
    INFO("seed " << Seed << ", " << Fleet.size() << " instances");
    CHECK(Fleet.worstDelay() <= Budget);
    CHECK(Fleet.regressions() == 0);
    CHECK(countOutdated(Fleet) == 0);
  }
}
