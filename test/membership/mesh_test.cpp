#include <harness/mesh_network.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace medlarmoor;
using namespace medlarmoor::membership;
using harness::MeshNetwork;

namespace {

constexpr Nanos Lease = Millis(1000);
/// The limit from the first start to a common view; joining alone takes a
/// lease.
constexpr Nanos JoinLimit = Seconds(6);

std::unique_ptr<MeshNetwork> startedNetwork(std::size_t Members,
                                            std::uint64_t Seed) {
  auto Net = std::make_unique<MeshNetwork>(Seed);
  for (std::size_t I = 0; I < Members; ++I)
    Net->add("seeb-" + std::to_string(I));
  REQUIRE(Net->runUntil([&] { return Net->converged(Members); }, JoinLimit));
  return Net;
}

} // namespace

TEST_CASE("members of small and large domains converge on one view") {
  for (const std::size_t Members : {1U, 4U, 9U, 40U})
    startedNetwork(Members, 3);
}

TEST_CASE(
    "a killed member is removed from all views, and its next run rejoins") {
  for (const std::size_t Members : {4U, 40U}) {
    const auto Net = startedNetwork(Members, 5);
    Net->kill(1);
    // The lease, one heartbeat interval and the time for the update to spread.
    CHECK(Net->runUntil([&] { return Net->converged(Members - 1); },
                        Lease + Millis(250) + Seconds(1)));
    Net->replace(1);
    CHECK(Net->runUntil([&] { return Net->converged(Members); }, JoinLimit));
  }
}

TEST_CASE("a member in a planned stop is leaving, then gone") {
  const auto Net = startedNetwork(5, 7);
  Net->perform(2, Net->mesh(2).leave());
  CHECK(Net->runUntil(
      [&] {
        const Member *Listed = Net->mesh(0).view()->find(EntryName("seeb-2"));
        return Listed && Listed->State_ == MemberState::Leaving;
      },
      Millis(200)));
  CHECK_FALSE(Net->mesh(2).leaseValid());
  Net->perform(2, Net->mesh(2).completeLeave());
  CHECK(Net->runUntil([&] { return Net->converged(4); }, Millis(200)));
  CHECK(Net->mesh(2).state() == EntryState::Stopped);
}

TEST_CASE("an entry that resumes after its lease is not in its own view until "
          "it has rejoined") {
  const auto Net = startedNetwork(4, 9);
  Net->pause(3);
  Net->run(Seconds(10));
  CHECK_FALSE(Net->mesh(3).leaseValid());
  CHECK_FALSE(Net->sees(0, 3));
  const Incarnation Before = Net->mesh(3).incarnation();
  Net->perform(3, Net->mesh(3).tick());
  CHECK(Net->mesh(3).state() == EntryState::Joining);
  CHECK_FALSE(Net->sees(3, 3));
  CHECK(Net->mesh(3).incarnation() > Before);
  Net->wake(3);
  Net->run(Lease / 2);
  CHECK_FALSE(Net->sees(3, 3));
  CHECK(Net->runUntil([&] { return Net->converged(4); }, JoinLimit));
  CHECK(Net->mesh(3).leaseValid());
}

TEST_CASE(
    "a message that was queued while the process was paused has no effect") {
  const auto Net = startedNetwork(4, 11);
  Net->pause(3);
  Net->run(Seconds(3));
  // wake() delivers the queued messages before the first tick.
  Net->wake(3);
  CHECK_FALSE(Net->sees(3, 3));
  CHECK(Net->mesh(3).state() == EntryState::Joining);
}

TEST_CASE("an entry that was removed while it was paused has a new incarnation "
          "when it resumes") {
  for (const Nanos Pause : {Millis(700), Millis(900), Millis(1000),
                            Millis(1050), Millis(1100), Millis(1300)}) {
    const auto Net = startedNetwork(4, 12);
    Net->run(Millis(150));
    const Incarnation Before = Net->mesh(3).incarnation();
    Net->pause(3);
    Net->run(Pause);
    const bool Removed = !Net->sees(0, 3);
    Net->wake(3);
    Net->perform(3, Net->mesh(3).tick());
    CHECK((!Removed || Net->mesh(3).incarnation() > Before));
  }
}

TEST_CASE("a lagging or incomplete platform list removes no member") {
  const auto Net = startedNetwork(4, 13);
  Net->unlist(2);
  std::set<std::size_t> Sizes;
  Net->OnView_ = [&](std::size_t, const View &Published) {
    Sizes.insert(Published.members().size());
  };
  Net->run(Seconds(200));
  CHECK(Sizes.empty());
  CHECK(Net->mesh(0).listDisagreements() == 1);
}

TEST_CASE("members without the platform keep their view and admit a new run") {
  const auto Net = startedNetwork(4, 15);
  Net->setPlatform(false);
  Net->run(Seconds(30));
  CHECK(Net->converged(4));
  Net->kill(0);
  CHECK(Net->runUntil([&] { return Net->converged(3); }, 2 * Lease));
  // The others know its address and contact it.
  Net->replace(0);
  CHECK(Net->runUntil([&] { return Net->converged(4); }, JoinLimit));
}

TEST_CASE(
    "an entry without the platform list and without neighbours does not become "
    "live") {
  MeshNetwork Net(17);
  Net.setPlatform(false);
  Net.add("seeb-0");
  Net.run(Seconds(20));
  CHECK(Net.mesh(0).state() == EntryState::Starting);
  CHECK_FALSE(Net.mesh(0).leaseValid());
  Net.setPlatform(true);
  CHECK(Net.runUntil([&] { return Net.converged(1); }, Seconds(10)));
}

TEST_CASE(
    "both parts of a partitioned domain stay live and merge when it heals") {
  const auto Net = startedNetwork(6, 19);
  Net->setLoss([](std::size_t A, std::size_t B) { return (A < 3) != (B < 3); });
  CHECK(Net->runUntil(
      [&] { return Net->mesh(0).view()->members().size() == 3; }, 2 * Lease));
  Net->run(Seconds(60));
  CHECK(Net->mesh(0).leaseValid());
  CHECK(Net->mesh(5).leaseValid());
  Net->setLoss({});
  CHECK(Net->runUntil([&] { return Net->converged(6); }, Seconds(5)));
}

TEST_CASE(
    "a run whose clock is behind that of the previous run chooses a higher "
    "incarnation") {
  const auto Net = startedNetwork(4, 21);
  Net->kill(1);
  Net->run(Seconds(2));
  wire::MemberUpdate Claim{EntryName("seeb-1"), Ipv4(0x7F000002),
                           Incarnation(~0ULL >> 1U), 1, wire::Phase::Live};
  const wire::Incoming Received{EntryName("seeb-3"), wire::MemberTable{{Claim}},
                                Net->mesh(3).incarnation()};
  Net->perform(0, Net->mesh(0).onMessage(Received));
  Net->replace(1);
  CHECK(Net->runUntil([&] { return Net->converged(4); }, Seconds(10)));
  CHECK(Net->mesh(1).incarnation() > Claim.Incarnation_);
}

TEST_CASE("only two members of a domain read the platform list often") {
  const auto Net = startedNetwork(40, 23);
  Net->run(Seconds(5));
  std::vector<std::uint64_t> Before;
  for (std::size_t I = 0; I < 40; ++I)
    Before.push_back(Net->usage(I).ListReads_);
  Net->run(Seconds(60));
  std::size_t FrequentReaders = 0;
  for (std::size_t I = 0; I < 40; ++I)
    if (Net->usage(I).ListReads_ - Before[I] > 10)
      ++FrequentReaders;
    else
      CHECK(Net->usage(I).ListReads_ - Before[I] <= 2);
  CHECK(FrequentReaders == 2);
}

TEST_CASE(
    "views converge after random starts, kills, pauses and planned stops") {
  CHECK(rc::check("converge", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(2, 14);
    MeshNetwork Net(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t I = 0; I < Members; ++I)
      Net.add("m" + std::to_string(I));
    std::vector<bool> Up(Members, true);
    const auto Steps = *rc::gen::inRange(1, 8);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto I = *rc::gen::inRange<std::size_t>(0, Members);
      const auto Event = *rc::gen::inRange(0, 3);
      Net.run(Millis(*rc::gen::inRange(0, 3000)));
      if (!Up[I]) {
        Net.replace(I);
      } else if (Event == 0) {
        Net.kill(I);
      } else if (Event == 1) {
        Net.pause(I);
        Net.run(Millis(*rc::gen::inRange(0, 3000)));
        Net.wake(I);
      } else {
        Net.perform(I, Net.mesh(I).leave());
        Net.run(Millis(300));
        Net.perform(I, Net.mesh(I).completeLeave());
        Net.kill(I);
      }
      Up[I] = !Up[I] || Event == 1;
    }
    const auto Live =
        static_cast<std::size_t>(std::count(Up.begin(), Up.end(), true));
    RC_ASSERT(Net.runUntil([&] { return Net.converged(Live); }, Seconds(15)));
  }));
}

TEST_CASE("a member that sends heartbeats is never removed") {
  CHECK(rc::check("kept", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(3, 24);
    MeshNetwork Net(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t I = 0; I < Members; ++I)
      Net.add("m" + std::to_string(I));
    RC_ASSERT(Net.runUntil([&] { return Net.converged(Members); }, JoinLimit));
    // The link between two members loses all messages in one or both
    // directions.
    const auto A = *rc::gen::inRange<std::size_t>(0, Members);
    const auto B = *rc::gen::inRange<std::size_t>(0, Members);
    const bool Both = *rc::gen::arbitrary<bool>();
    Net.setLoss([=](std::size_t From, std::size_t To) {
      return (From == A && To == B) || (Both && From == B && To == A);
    });
    std::size_t SmallestView = Members;
    Net.OnView_ = [&](std::size_t, const View &Published) {
      SmallestView = std::min(SmallestView, Published.members().size());
    };
    Net.run(Seconds(10));
    RC_ASSERT(SmallestView == Members);
  }));
}

TEST_CASE("updates about an earlier incarnation are rejected as stale") {
  CHECK(rc::check("stale", [] {
    PeerTable Table(16, Seconds(600));
    const EntryName Name("m");
    std::uint64_t Highest = 0;
    const auto Steps = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto Run = *rc::gen::inRange<std::uint64_t>(1, 6);
      const auto Generation = *rc::gen::inRange<std::uint32_t>(0, 4);
      const auto Phase = static_cast<wire::Phase>(*rc::gen::inRange(0, 5));
      const ApplyResult Result = Table.apply(
          {Name, Ipv4(1), Incarnation(Run), Generation, Phase}, TimePoint());
      RC_ASSERT((Result == ApplyResult::Stale) == (Run < Highest));
      if (const Peer *Known = Table.find(Name))
        Highest = Known->Run_.value();
    }
  }));
}

TEST_CASE(
    "a new entry finds its neighbours from its settings while the platform "
    "is down") {
  MeshNetwork Net(25);
  for (const char *Name : {"seeb-0", "seeb-1", "seeb-2"})
    Net.add(Name);
  REQUIRE(Net.runUntil([&] { return Net.converged(3); }, JoinLimit));
  Net.setPlatform(false);
  Net.add("seeb-9", {{EntryName("seeb-1"), Net.address(1)}});
  Net.unlist(3);
  CHECK(Net.runUntil([&] { return Net.converged(4); }, JoinLimit));
}
