#include <harness/mesh_network.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace medlarmoor;
using namespace medlarmoor::membership;
using harness::MeshNetwork;

namespace {

constexpr Nanos Lease = Millis(1000);
/// From the first start to a common view: joining takes a lease.
constexpr Nanos JoinLimit = Seconds(6);

std::unique_ptr<MeshNetwork> started(std::size_t Members, std::uint64_t Seed) {
  auto Net = std::make_unique<MeshNetwork>(Seed);
  for (std::size_t I = 0; I < Members; ++I)
    Net->add("seeb-" + std::to_string(I));
  REQUIRE(Net->runUntil([&] { return Net->converged(Members); }, JoinLimit));
  return Net;
}

} // namespace

TEST_CASE("members of small and large domains find one view") {
  for (const std::size_t Members : {1U, 4U, 9U, 40U})
    started(Members, 3);
}

TEST_CASE("a killed member leaves all views, and a new run comes back") {
  for (const std::size_t Members : {4U, 40U}) {
    const auto Net = started(Members, 5);
    Net->kill(1);
    // The lease, the period between two heartbeats and the spread of the news.
    CHECK(Net->runUntil([&] { return Net->converged(Members - 1); },
                        Lease + Millis(250) + Seconds(1)));
    Net->replace(1);
    CHECK(Net->runUntil([&] { return Net->converged(Members); }, JoinLimit));
  }
}

TEST_CASE("a planned stop is seen as leaving, then as gone") {
  const auto Net = started(5, 7);
  Net->perform(2, Net->mesh(2).leave());
  CHECK(Net->runUntil(
      [&] {
        const Member *Seen = Net->mesh(0).view()->find(EntryName("seeb-2"));
        return Seen && Seen->State_ == MemberState::Leaving;
      },
      Millis(200)));
  CHECK_FALSE(Net->mesh(2).leaseValid());
  Net->perform(2, Net->mesh(2).farewell());
  CHECK(Net->runUntil([&] { return Net->converged(4); }, Millis(200)));
  CHECK(Net->mesh(2).state() == EntryState::Stopped);
}

TEST_CASE(
    "one that wakes after its lease leaves itself out until it rejoined") {
  const auto Net = started(4, 9);
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

TEST_CASE("a message that waited while the process was paused does not act") {
  const auto Net = started(4, 11);
  Net->pause(3);
  Net->run(Seconds(3));
  // wake() delivers what waited before the first tick.
  Net->wake(3);
  CHECK_FALSE(Net->sees(3, 3));
  CHECK(Net->mesh(3).state() == EntryState::Joining);
}

TEST_CASE("whoever the others removed while it was paused knows it on waking") {
  for (const Nanos Pause : {Millis(700), Millis(900), Millis(1000),
                            Millis(1050), Millis(1100), Millis(1300)}) {
    const auto Net = started(4, 12);
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

TEST_CASE("a list that lags or disagrees removes nobody") {
  const auto Net = started(4, 13);
  Net->unlist(2);
  std::set<std::size_t> Sizes;
  Net->OnView_ = [&](std::size_t, const View &Seen) {
    Sizes.insert(Seen.members().size());
  };
  Net->run(Seconds(200));
  CHECK(Sizes.empty());
  CHECK(Net->mesh(0).listDisagreements() == 1);
}

TEST_CASE("cut off from the platform the members go on and admit a new run") {
  const auto Net = started(4, 15);
  Net->setPlatform(false);
  Net->run(Seconds(30));
  CHECK(Net->converged(4));
  Net->kill(0);
  CHECK(Net->runUntil([&] { return Net->converged(3); }, 2 * Lease));
  // The others know its address and try it.
  Net->replace(0);
  CHECK(Net->runUntil([&] { return Net->converged(4); }, JoinLimit));
}

TEST_CASE("without list and neighbour an entry does not become live") {
  MeshNetwork Net(17);
  Net.setPlatform(false);
  Net.add("seeb-0");
  Net.run(Seconds(20));
  CHECK(Net.mesh(0).state() == EntryState::Starting);
  CHECK_FALSE(Net.mesh(0).leaseValid());
  Net.setPlatform(true);
  CHECK(Net.runUntil([&] { return Net.converged(1); }, Seconds(10)));
}

TEST_CASE("a domain that was cut in two serves in both parts and heals") {
  const auto Net = started(6, 19);
  Net->setLoss([](std::size_t A, std::size_t B) { return (A < 3) != (B < 3); });
  CHECK(Net->runUntil(
      [&] { return Net->mesh(0).view()->members().size() == 3; }, 2 * Lease));
  Net->run(Seconds(60));
  CHECK(Net->mesh(0).leaseValid());
  CHECK(Net->mesh(5).leaseValid());
  Net->setLoss({});
  CHECK(Net->runUntil([&] { return Net->converged(6); }, Seconds(5)));
}

TEST_CASE("a run whose clock is behind its predecessor's gets ahead") {
  const auto Net = started(4, 21);
  Net->kill(1);
  Net->run(Seconds(2));
  wire::MemberNews Claim{EntryName("seeb-1"), Ipv4(0x7F000002),
                         Incarnation(~0ULL >> 1U), 1, wire::Phase::Live};
  const wire::Incoming Told{EntryName("seeb-3"), wire::MemberTable{{Claim}},
                            Net->mesh(3).incarnation()};
  Net->perform(0, Net->mesh(0).onMessage(Told));
  Net->replace(1);
  CHECK(Net->runUntil([&] { return Net->converged(4); }, Seconds(10)));
  CHECK(Net->mesh(1).incarnation() > Claim.Incarnation_);
}

TEST_CASE("only two members of a domain read the list often") {
  const auto Net = started(40, 23);
  Net->run(Seconds(5));
  std::vector<std::uint64_t> Before;
  for (std::size_t I = 0; I < 40; ++I)
    Before.push_back(Net->usage(I).ListReads_);
  Net->run(Seconds(60));
  std::size_t Often = 0;
  for (std::size_t I = 0; I < 40; ++I)
    if (Net->usage(I).ListReads_ - Before[I] > 10)
      ++Often;
    else
      CHECK(Net->usage(I).ListReads_ - Before[I] <= 2);
  CHECK(Often == 2);
}

TEST_CASE("views converge after random starts, kills, pauses and stops") {
  CHECK(rc::check("converge", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(2, 14);
    MeshNetwork Net(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t I = 0; I < Members; ++I)
      Net.add("m" + std::to_string(I));
    std::vector<bool> Up(Members, true);
    const auto Steps = *rc::gen::inRange(1, 8);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto I = *rc::gen::inRange<std::size_t>(0, Members);
      const auto What = *rc::gen::inRange(0, 3);
      Net.run(Millis(*rc::gen::inRange(0, 3000)));
      if (!Up[I]) {
        Net.replace(I);
      } else if (What == 0) {
        Net.kill(I);
      } else if (What == 1) {
        Net.pause(I);
        Net.run(Millis(*rc::gen::inRange(0, 3000)));
        Net.wake(I);
      } else {
        Net.perform(I, Net.mesh(I).leave());
        Net.run(Millis(300));
        Net.perform(I, Net.mesh(I).farewell());
        Net.kill(I);
      }
      Up[I] = !Up[I] || What == 1;
    }
    const auto Live =
        static_cast<std::size_t>(std::count(Up.begin(), Up.end(), true));
    RC_ASSERT(Net.runUntil([&] { return Net.converged(Live); }, Seconds(15)));
  }));
}

TEST_CASE("a member that heartbeats is never removed") {
  CHECK(rc::check("kept", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(3, 24);
    MeshNetwork Net(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t I = 0; I < Members; ++I)
      Net.add("m" + std::to_string(I));
    RC_ASSERT(Net.runUntil([&] { return Net.converged(Members); }, JoinLimit));
    // One path is cut in one or both directions.
    const auto A = *rc::gen::inRange<std::size_t>(0, Members);
    const auto B = *rc::gen::inRange<std::size_t>(0, Members);
    const bool Both = *rc::gen::arbitrary<bool>();
    Net.setLoss([=](std::size_t From, std::size_t To) {
      return (From == A && To == B) || (Both && From == B && To == A);
    });
    std::size_t Fewest = Members;
    Net.OnView_ = [&](std::size_t, const View &Seen) {
      Fewest = std::min(Fewest, Seen.members().size());
    };
    Net.run(Seconds(10));
    RC_ASSERT(Fewest == Members);
  }));
}

TEST_CASE("facts of an earlier run are refused") {
  CHECK(rc::check("stale", [] {
    PeerTable Table(16, Seconds(600));
    const EntryName Name("m");
    std::uint64_t Highest = 0;
    const auto Steps = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto Run = *rc::gen::inRange<std::uint64_t>(1, 6);
      const auto Generation = *rc::gen::inRange<std::uint32_t>(0, 4);
      const auto Phase = static_cast<wire::Phase>(*rc::gen::inRange(0, 5));
      const Verdict Got = Table.apply(
          {Name, Ipv4(1), Incarnation(Run), Generation, Phase}, TimePoint());
      RC_ASSERT((Got == Verdict::Stale) == (Run < Highest));
      if (const Peer *Each = Table.find(Name))
        Highest = Each->Run_.value();
    }
  }));
}

TEST_CASE(
    "with the platform down a new entry finds its neighbours by settings") {
  MeshNetwork Net(25);
  for (const char *Name : {"seeb-0", "seeb-1", "seeb-2"})
    Net.add(Name);
  REQUIRE(Net.runUntil([&] { return Net.converged(3); }, JoinLimit));
  Net.setPlatform(false);
  Net.add("seeb-9", {{EntryName("seeb-1"), Net.address(1)}});
  Net.unlist(3);
  CHECK(Net.runUntil([&] { return Net.converged(4); }, JoinLimit));
}
