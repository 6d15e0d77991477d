#include <request/cluster.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace medlarmoor;
using namespace medlarmoor::test;

namespace {

constexpr int Steps = 600;
constexpr std::uint32_t EventKinds = 40;

/// RapidCheck reads its seed from the environment before its first check.
const bool SeedSet =
    setenv("RC_PARAMS", "seed=20261204 max_success=2000", 1) == 0;

/// Applies the event that Number encodes.
void step(Cluster &Simulated, std::uint32_t Number) {
  const std::uint32_t Kind = Number % EventKinds;
  const std::uint32_t Argument = Number / EventKinds;
  const std::size_t Entry = Argument % Simulated.entries();
  const std::uint32_t Parameter = Argument / 8;
  switch (Kind) {
  case 0:
  case 1:
    return Simulated.submitNew(Entry);
  case 2:
    if (Simulated.keys() > 0)
      Simulated.submitAgain(Parameter % Simulated.keys(), Entry);
    return;
  case 3:
    if (Simulated.keys() > 0 && Parameter % 4 == 0)
      Simulated.cancel((Parameter / 4) % Simulated.keys(), Entry);
    return;
  case 4:
    return Simulated.setView(Entry, Parameter);
  case 5:
    return Simulated.setView(Entry, ~0U);
  case 6:
    return Parameter % 4 == 0 ? Simulated.restart(Entry)
                              : Simulated.wake(Entry);
  case 7:
    return Parameter % 3 == 0 ? Simulated.pause(Entry) : Simulated.wake(Entry);
  case 8:
    return Simulated.handOff(Entry, Parameter % Simulated.entries());
  case 9:
    if (Simulated.messages() > 0)
      Simulated.drop(Parameter % Simulated.messages());
    return;
  case 10:
    return Simulated.advance(Millis(Parameter % 1500));
  case 11:
    return Simulated.advance(Millis(Parameter % 60));
  default:
    if (Simulated.messages() > 0)
      Simulated.deliver(Parameter % Simulated.messages());
  }
}

} // namespace

TEST_CASE("no crash, pause, view change or lost message causes a second run or "
          "a false refusal") {
  REQUIRE(SeedSet);
  int Done = 0;
  int NotRun = 0;
  const bool Passed = rc::check([&] {
    const auto EntryCount = *rc::gen::inRange<std::size_t>(2, 6);
    const auto Numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        Steps,
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
    Cluster Simulated(EntryCount);
    for (const std::uint32_t Number : Numbers)
      step(Simulated, Number);
    RC_ASSERT(Simulated.doubleRuns() == 0);
    RC_ASSERT(Simulated.falseNotRun() == 0);
    Done += Simulated.callersWith(request::Outcome::Done);
    NotRun += Simulated.callersWith(request::Outcome::NotRun);
  });
  CHECK(Passed);
  // The event mix must allow enough requests to run and to be refused.
  CHECK(Done > 500);
  CHECK(NotRun > 500);
}
