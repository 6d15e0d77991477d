#include <request/cluster.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace medlarmoor;
using namespace medlarmoor::test;

namespace {

constexpr int Steps = 600;
constexpr std::uint32_t Kinds = 40;

/// RapidCheck reads its seed from the environment before its first check.
const bool SeedSet =
    setenv("RC_PARAMS", "seed=20261204 max_success=2000", 1) == 0;

/// Turns one number into one event.
void step(Cluster &All, std::uint32_t Number) {
  const std::uint32_t Kind = Number % Kinds;
  const std::uint32_t Arg = Number / Kinds;
  const std::size_t At = Arg % All.entries();
  const std::uint32_t More = Arg / 8;
  switch (Kind) {
  case 0:
  case 1:
    return All.submitNew(At);
  case 2:
    if (All.keys() > 0)
      All.submitAgain(More % All.keys(), At);
    return;
  case 3:
    if (All.keys() > 0 && More % 4 == 0)
      All.cancel((More / 4) % All.keys(), At);
    return;
  case 4:
    return All.setView(At, More);
  case 5:
    return All.setView(At, ~0U);
  case 6:
    return More % 4 == 0 ? All.restart(At) : All.wake(At);
  case 7:
    return More % 3 == 0 ? All.pause(At) : All.wake(At);
  case 8:
    return All.handOff(At, More % All.entries());
  case 9:
    if (All.messages() > 0)
      All.drop(More % All.messages());
    return;
  case 10:
    return All.advance(Millis(More % 1500));
  case 11:
    return All.advance(Millis(More % 60));
  default:
    if (All.messages() > 0)
      All.deliver(More % All.messages());
  }
}

} // namespace

TEST_CASE("no crash, pause, view or lost message doubles a run or makes a "
          "refusal false") {
  REQUIRE(SeedSet);
  int Done = 0;
  int NotRun = 0;
  const bool Held = rc::check([&] {
    const auto Entries = *rc::gen::inRange<std::size_t>(2, 6);
    const auto Numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        Steps,
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
    Cluster All(Entries);
    for (const std::uint32_t Each : Numbers)
      step(All, Each);
    RC_ASSERT(All.doubleRuns() == 0);
    RC_ASSERT(All.falseNotRun() == 0);
    Done += All.callersWith(request::Outcome::Done);
    NotRun += All.callersWith(request::Outcome::NotRun);
  });
  CHECK(Held);
  // The events must leave room for requests that do run and are refused.
  CHECK(Done > 500);
  CHECK(NotRun > 500);
}
