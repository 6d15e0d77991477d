#include <bench/config/config_promises.hpp>

#include <medlarmoor/core/clock.hpp>

#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/platform/read_document.hpp>

#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>

namespace medlarmoor::bench {

namespace {

constexpr std::uint32_t Operators = 20;
constexpr std::uint32_t FirstMark = 100;
constexpr Millis Limit = Seconds(60);
constexpr int Done = 0;
constexpr int Conflict = 3;
constexpr int Unreachable = 4;
constexpr int Uncertain = 5;

/// What the operators of one race saw.
struct Tally {
  std::mutex Lock_;
  std::uint64_t Accepted_ = 0;
  std::uint64_t Conflicts_ = 0;
  std::uint64_t Uncertain_ = 0;
  std::uint64_t Failed_ = 0;
};

/// The number in the document that an operator changes: the slots of the
/// upstream of its number, or the connections of the first one.
std::uint32_t &own(config::Environment &In, std::uint32_t Number) {
  for (config::Service &Each : In.Services_) {
    if (Number < Each.Upstreams_.size())
      return Each.Upstreams_[Number].Slots_;
    Number -= static_cast<std::uint32_t>(Each.Upstreams_.size());
  }
  return In.Services_.at(0).Upstreams_.at(Number).Connections_;
}

/// Reads, changes and applies until its change is accepted; what was read is
/// named, so that it never writes over what it has not seen.
class Operator {
public:
  Operator(ConfigWorld &World, std::uint32_t Number, Tally &Into)
      : World_(World), Number_(Number), Into_(Into),
        Platform_(World.platformApi(), Seconds(10)) {}

  void run() {
    const TimePoint End = Clock().now() + Limit;
    while (Clock().now() < End) {
      std::string Reason;
      const auto There =
          platform::readDocument(Platform_, World_.environment(), Reason);
      if (!There || !There->Document_)
        continue;
      if (attempt(*There))
        return;
    }
    const std::lock_guard Guard(Into_.Lock_);
    ++Into_.Failed_;
  }

private:
  /// True when the change is there.
  bool attempt(const platform::AcceptedDocument &There) {
    config::Environment Next = There.Document_->Environment_;
    const std::uint32_t Mark = FirstMark + Number_;
    if (own(Next, Number_) == Mark)
      return true;
    own(Next, Number_) = Mark;
    const std::uint64_t Seen = There.Manifest_.Version_.value();
    World_.expect(Seen + 1, Next);
    const int Code =
        World_.apply("operator-" + std::to_string(Number_), Next, Seen);
    const std::lock_guard Guard(Into_.Lock_);
    Into_.Conflicts_ += Code == Conflict ? 1 : 0;
    Into_.Uncertain_ += Code == Uncertain ? 1 : 0;
    if (Code != Done)
      return Code != Conflict && Code != Unreachable && Code != Uncertain;
    ++Into_.Accepted_;
    return true;
  }

  ConfigWorld &World_;
  std::uint32_t Number_;
  Tally &Into_;
  platform::SyncClient Platform_;
};

/// Changes of operators that the accepted document does not hold.
std::uint64_t lost(ConfigWorld &World) {
  std::string Reason;
  const platform::SyncClient Platform(World.platformApi(), Seconds(10));
  const auto There =
      platform::readDocument(Platform, World.environment(), Reason);
  if (!There || !There->Document_)
    return Operators;
  config::Environment Last = There->Document_->Environment_;
  std::uint64_t Out = 0;
  for (std::uint32_t Number = 0; Number < Operators; ++Number)
    Out += own(Last, Number) == FirstMark + Number ? 0 : 1;
  return Out;
}

} // namespace

void runRace(std::uint32_t LoseAnswerEvery, Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 4))
    return addFailure(World.lastReason(), Out);
  const std::uint64_t Before = World.newest();
  World.platform({{"loseAnswerEvery", LoseAnswerEvery}});
  Tally Seen;
  std::vector<std::thread> Threads;
  for (std::uint32_t Number = 0; Number < Operators; ++Number)
    Threads.emplace_back(
        [&World, &Seen, Number] { Operator(World, Number, Seen).run(); });
  for (std::thread &Each : Threads)
    Each.join();
  World.platform({{"loseAnswerEvery", 0}});
  const WallTime End = Clock().wallNow();
  Times Last;
  const std::uint64_t Newest = World.acceptedNow();
  Last.add(World.inForce({Newest, End}, Seconds(10)));
  const auto Written = static_cast<double>(Newest - Before);
  const auto Accepted = static_cast<double>(Seen.Accepted_);
  addCommon(World, Last, Out,
            {{"accepted_lost", static_cast<double>(lost(World)), 0},
             {"accepted_doubled",
              std::max(0.0, Written - Accepted -
                                static_cast<double>(Seen.Uncertain_)),
              0},
             {"operators_failed", static_cast<double>(Seen.Failed_), 0}});
  Out.Figures_["accepted"] = Seen.Accepted_;
  Out.Figures_["versions_written"] = Newest - Before;
  Out.Figures_["conflicts"] = Seen.Conflicts_;
  Out.Figures_["uncertain"] = Seen.Uncertain_;
  Out.Figures_["lose_answer_every"] = LoseAnswerEvery;
}

} // namespace medlarmoor::bench
