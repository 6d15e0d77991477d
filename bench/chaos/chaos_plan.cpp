#include <bench/chaos/chaos_plan.hpp>

#include <medlarmoor/core/random.hpp>

#include <algorithm>
#include <array>

namespace medlarmoor::bench::chaos {

namespace {

/// From the begin of one pair of events to that of the next.
constexpr Millis PairPeriod = Seconds(5);
/// The second event of a pair begins within this time of the first.
constexpr int LargestOffsetMs = 800;
constexpr int ShortestMs = 1200;
constexpr int LongestMs = 4000;
constexpr Millis NoticedAfter{500};

struct Switch {
  const char *On_;
  const char *Off_;
};

constexpr std::array PlatformSwitches{
    Switch{R"({"outage":true})", R"({"outage":false})"},
    Switch{R"({"hang":true})", R"({"hang":false})"},
    Switch{R"({"delayMs":700})", R"({"delayMs":0})"},
    Switch{R"({"loseAnswerEvery":2})", R"({"loseAnswerEvery":0})"},
    Switch{R"({"staleMs":5000})", R"({"staleMs":0})"},
    Switch{R"({"silenceWatches":true})", R"({"silenceWatches":false})"},
    Switch{R"({"listLagMs":8000})", R"({"listLagMs":0})"}};

constexpr std::array UpstreamSwitches{
    Switch{R"({"silent":true})", R"({"silent":false})"},
    Switch{R"({"speed":0.1})", R"({"speed":1.0})"},
    Switch{R"({"shed":true})", R"({"shed":false})"},
    Switch{R"({"cut":true})", R"({"cut":false})"},
    Switch{R"({"cross":true})", R"({"cross":false})"},
    Switch{R"({"late":true})", R"({"late":false})"},
    Switch{R"({"duplicate":true})", R"({"duplicate":false})"},
    Switch{R"({"loadLie":0})", R"({"loadLie":null})"},
    Switch{R"({"loadFreeze":true})", R"({"loadFreeze":false})"},
    Switch{R"({"loadLagMs":3000})", R"({"loadLagMs":0})"},
    Switch{R"({"restart":true,"coldStartMs":2000})", R"({"coldStartMs":0})"}};

/// Draws one event after another.
class PlanRandom {
public:
  explicit PlanRandom(std::uint64_t Seed) : Random_(Seed) {}

  int between(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random_);
  }

  Event planned() {
    switch (between(0, 3)) {
    case 0:
      return DrainUpstream{pick()};
    case 1:
      return ChangeWeight{pick(), 0.5 * between(1, 6)};
    case 2:
      return RaceOperators{static_cast<std::uint32_t>(between(2, 4))};
    default:
      return ReplaceEntry{pick()};
    }
  }

  Event any() {
    switch (between(0, 14)) {
    case 0:
    case 1:
      return KillEntry{pick(), between(0, 1) == 0};
    case 2:
    case 3:
      return PauseEntry{pick()};
    case 4:
      return CutEntries{pick(), pick(), between(0, 1) == 0};
    case 5:
      return IsolateEntry{pick()};
    case 6:
      return CutPlatform{pick()};
    case 7:
      return DelayEntry{pick(), Millis(between(20, 400))};
    case 8:
      return LoseControl{0.1 * between(1, 5)};
    case 9:
      return SilenceEntry{pick()};
    case 10:
      return platformFault();
    case 11:
      return upstreamFault();
    case 12:
      return CutUpstream{pick(), pick()};
    default:
      return planned();
    }
  }

private:
  Pick pick() { return static_cast<Pick>(Random_()); }

  Event platformFault() {
    const Switch &Each = PlatformSwitches.at(
        between(0, static_cast<int>(PlatformSwitches.size()) - 1));
    return PlatformFault{Each.On_, Each.Off_};
  }

  Event upstreamFault() {
    const Switch &Each = UpstreamSwitches.at(
        between(0, static_cast<int>(UpstreamSwitches.size()) - 1));
    return UpstreamFault{pick(), Each.On_, Each.Off_};
  }

  Random Random_;
};

} // namespace

Plan makePlan(Mix Kinds, std::uint64_t Seed, Nanos Length) {
  PlanRandom Next(Seed);
  Plan Out;
  const auto Add = [&](Nanos At) {
    const std::size_t Index = Out.Events_.size();
    Out.Events_.push_back(Kinds == Mix::Planned ? Next.planned() : Next.any());
    const Millis Lasts(Next.between(ShortestMs, LongestMs));
    Out.Steps_.push_back({At, Phase::Begin, Index});
    Out.Steps_.push_back({At + NoticedAfter, Phase::Noticed, Index});
    Out.Steps_.push_back({At + Lasts, Phase::End, Index});
  };
  for (Nanos At = Seconds(1); At + PairPeriod <= Length; At += PairPeriod) {
    Add(At);
    Add(At + Millis(Next.between(0, LargestOffsetMs)));
  }
  std::stable_sort(Out.Steps_.begin(), Out.Steps_.end(),
                   [](const Step &A, const Step &B) { return A.At_ < B.At_; });
  return Out;
}

} // namespace medlarmoor::bench::chaos
