#include <harness/sync_fleet.hpp>

#include <medlarmoor/edge/store_timing.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarmoor;
using medlarmoor::harness::SyncFleet;

namespace {

/// A change must be known everywhere within this share of its bound.
Millis budget(Millis Bound) { return Bound * 8 / 10; }

SyncFleet::Options fleet(std::size_t Instances, Millis Bound,
                         std::uint64_t Seed = 1) {
  SyncFleet::Options Setup;
  Setup.Instances_ = Instances;
  Setup.Reading_ = edge::followerTiming(Bound);
  Setup.Freshness_ = edge::freshnessTiming(Bound);
  Setup.Seed_ = Seed;
  return Setup;
}

/// Lets the fleet start and elect a reader.
void settle(SyncFleet &Fleet) { Fleet.run(Millis(4000)); }

/// Changes both collections several times, at moments that hit each phase of a
/// watch, and waits until the changes must be known.
void changeOften(SyncFleet &Fleet, Millis Bound) {
  for (int I = 0; I < 7; ++I) {
    Fleet.change(static_cast<std::size_t>(I) % 2);
    Fleet.run(Bound / 19);
  }
  Fleet.run(2 * Bound);
}

const std::vector<Millis> Bounds{Millis(3000), Millis(4000), Millis(6000)};

} // namespace

TEST_CASE("budget: without a fault, a change is known before other instances "
          "would read the store") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 30U, 118U}) {
      SyncFleet Fleet(fleet(Size, Bound));
      settle(Fleet);
      CHECK(Fleet.readers().size() == 1);
      changeOften(Fleet, Bound);
      INFO(Size << " instances, bound " << Bound.count() << " ms");
      CHECK(Fleet.worstDelay() <= edge::freshnessTiming(Bound).TakeoverAge_);
      CHECK(Fleet.worstDelay() > Millis(0));
    }
}

TEST_CASE("budget: the reader is killed") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 30U, 118U}) {
      SyncFleet Fleet(fleet(Size, Bound));
      settle(Fleet);
      for (int Round = 0; Round < 4; ++Round) {
        for (const std::size_t Reader : Fleet.readers())
          Fleet.kill(Reader, Bound / 2);
        changeOften(Fleet, Bound);
      }
      INFO(Size << " instances, bound " << Bound.count() << " ms");
      CHECK(Fleet.worstDelay() <= budget(Bound));
    }
}

TEST_CASE("budget: the reader is cut off from the store right after an answer "
          "and goes on announcing") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 30U, 118U}) {
      SyncFleet Fleet(fleet(Size, Bound));
      settle(Fleet);
      for (int Round = 0; Round < 4; ++Round) {
        for (const std::size_t Reader : Fleet.readers())
          Fleet.cut(Reader, true, false, 3 * Bound);
        changeOften(Fleet, Bound);
      }
      INFO(Size << " instances, bound " << Bound.count() << " ms");
      CHECK(Fleet.worstDelay() <= budget(Bound));
    }
}

TEST_CASE("budget: the reader is paused and goes on") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 30U, 118U})
      for (const int Percent : {30, 60, 120}) {
        SyncFleet Fleet(fleet(Size, Bound));
        settle(Fleet);
        for (int Round = 0; Round < 3; ++Round) {
          for (const std::size_t Reader : Fleet.readers())
            Fleet.pause(Reader, Bound * Percent / 100);
          changeOften(Fleet, Bound);
        }
        INFO(Size << " instances, bound " << Bound.count() << " ms, paused for "
                  << Percent << "% of it");
        CHECK(Fleet.worstDelay() <= budget(Bound));
      }
}

TEST_CASE("budget: the open calls of all instances go silent") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 30U, 118U}) {
      SyncFleet Fleet(fleet(Size, Bound));
      settle(Fleet);
      for (int Round = 0; Round < 4; ++Round) {
        for (std::size_t I = 0; I < Fleet.size(); ++I)
          Fleet.silenceCalls(I);
        changeOften(Fleet, Bound);
      }
      INFO(Size << " instances, bound " << Bound.count() << " ms");
      CHECK(Fleet.worstDelay() <= budget(Bound));
    }
}

TEST_CASE(
    "budget: the store refuses a third of the instances, the reader among "
    "them") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 30U, 118U}) {
      SyncFleet Fleet(fleet(Size, Bound));
      settle(Fleet);
      for (const std::size_t Reader : Fleet.readers())
        Fleet.refuse(Reader, 3 * Bound);
      for (std::size_t I = 0; I < Fleet.size(); I += 3)
        Fleet.refuse(I, 3 * Bound);
      changeOften(Fleet, Bound);
      INFO(Size << " instances, bound " << Bound.count() << " ms");
      CHECK(Fleet.worstDelay() <= budget(Bound));
    }
}

TEST_CASE("budget: the store drops its history") {
  for (const Millis Bound : Bounds) {
    SyncFleet Fleet(fleet(30, Bound));
    settle(Fleet);
    for (int Round = 0; Round < 4; ++Round) {
      Fleet.change(0);
      Fleet.compact();
      changeOften(Fleet, Bound);
    }
    CHECK(Fleet.worstDelay() <= budget(Bound));
  }
}

TEST_CASE("budget: all instances restart") {
  for (const Millis Bound : Bounds)
    for (const std::size_t Size : {5U, 118U}) {
      SyncFleet Fleet(fleet(Size, Bound));
      settle(Fleet);
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        Fleet.kill(I, Millis(static_cast<std::int64_t>(I) * 300 /
                             static_cast<std::int64_t>(Size)));
      Fleet.run(Millis(1500));
      changeOften(Fleet, Bound);
      INFO(Size << " instances, bound " << Bound.count() << " ms");
      CHECK(Fleet.worstDelay() <= budget(Bound));
      CHECK(Fleet.readers().size() == 1);
    }
}

TEST_CASE("budget: kills, cuts, pauses, refusals, slow processors and lost "
          "datagrams in random order") {
  for (std::uint64_t Seed = 1; Seed <= 24; ++Seed) {
    const Millis Bound = Bounds[Seed % Bounds.size()];
    SyncFleet::Options Setup = fleet(5 + (Seed * 37) % 120, Bound, Seed);
    Setup.Loss_ = Seed % 4 == 0 ? 0.2 : 0.02;
    Setup.MaxProcessorWait_ = Millis(Seed % 3 == 0 ? 100 : 20);
    SyncFleet Fleet(Setup);
    Random Choice(Seed);
    settle(Fleet);
    for (int Step = 0; Step < 60; ++Step) {
      const std::vector<std::size_t> Readers = Fleet.readers();
      const std::size_t Victim = Choice() % 2 == 0 && !Readers.empty()
                                     ? Readers[Choice() % Readers.size()]
                                     : Choice() % Fleet.size();
      const Millis Duration(Choice() % (2 * Bound.count()));
      switch (Choice() % 7) {
      case 0:
        Fleet.kill(Victim, Duration);
        break;
      case 1:
        Fleet.pause(Victim, Duration);
        break;
      case 2:
        Fleet.cut(Victim, true, Choice() % 2 == 0, Duration);
        break;
      case 3:
        Fleet.cut(Victim, false, true, Duration);
        break;
      case 4:
        Fleet.silenceCalls(Victim);
        break;
      case 5:
        Fleet.refuse(Victim, Duration);
        break;
      default:
        Fleet.compact();
        break;
      }
      Fleet.change(Choice() % 2);
      Fleet.run(Millis(Choice() % 900));
    }
    Fleet.run(2 * Bound);
    INFO("seed " << Seed << ", " << Fleet.size() << " instances, bound "
                 << Bound.count() << " ms");
    CHECK(Fleet.worstDelay() <= budget(Bound));
  }
}

TEST_CASE("large fleets: calls of the store and messages of an instance do not "
          "grow with the fleet") {
  constexpr Millis Bound{4000};
  std::vector<double> Calls;
  std::vector<double> Messages;
  for (const std::size_t Size : {30U, 118U, 1000U}) {
    SyncFleet Fleet(fleet(Size, Bound));
    settle(Fleet);
    const std::size_t CallsBefore = Fleet.storeCalls();
    const std::size_t MessagesBefore = Fleet.datagrams();
    for (int I = 0; I < 10; ++I) {
      Fleet.change(0);
      Fleet.run(Millis(1000));
    }
    INFO(Size << " instances");
    CHECK(Fleet.worstDelay() <= edge::freshnessTiming(Bound).TakeoverAge_);
    Calls.push_back(static_cast<double>(Fleet.storeCalls() - CallsBefore) / 10);
    Messages.push_back(static_cast<double>(Fleet.datagrams() - MessagesBefore) /
                       static_cast<double>(10 * Size));
  }
  INFO("calls a second " << Calls[0] << " " << Calls[1] << " " << Calls[2]
                         << ", messages of an instance a second " << Messages[0]
                         << " " << Messages[1] << " " << Messages[2]);
  CHECK(Calls[2] <= 1.2 * Calls[0]);
  CHECK(Messages[2] <= 1.2 * Messages[0]);
}

TEST_CASE("simultaneous start: an instance makes few calls until another one "
          "reads for it") {
  for (const std::size_t Size : {5U, 30U, 118U, 1000U}) {
    SyncFleet Fleet(fleet(Size, Millis(6000)));
    Fleet.run(Millis(300));
    const std::size_t Listed = Fleet.storeCalls();
    Fleet.run(Millis(1700));
    const double Calls = static_cast<double>(Fleet.storeCalls() - Listed) /
                         static_cast<double>(Size);
    INFO(Size << " instances, " << Listed << " calls for lists, then " << Calls
              << " calls of an instance");
    CHECK(Fleet.readers().size() == 1);
    CHECK(Calls <= 1.5);
  }
}
