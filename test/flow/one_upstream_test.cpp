#include <harness/fleet_membership.hpp>
#include <harness/sprayed_load.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

/// One change, and how long the load goes on after it.
struct Change {
  unsigned Kind_ = 0;
  unsigned Which_ = 0;
  unsigned Tenths_ = 0;
};

constexpr unsigned PlannedKinds = 6;
constexpr unsigned AllKinds = 8;

/// A fleet under load that changes as it is told.
class Scene {
public:
  /// Changes follow each other after Apart or up to 4 s later.
  Scene(std::uint64_t Seed, Nanos Apart)
      : Apart_(Apart), Random_(Seed), Fleet_({}, Seed), Members_(Fleet_),
        Load_(
            {60, 15, 1.0}, Seed,
            [this](std::size_t Entry, Endpoint From, Endpoint To, Flags Set) {
              return Fleet_.send(Entry, From, To, Set);
            },
            [this] { return Members_.sprayed(); }) {
    Doc_.service("booking", 8, 0.25).service("redaccion", 6, 0.02);
    distribute(false);
    for (int I = 0; I < 3; ++I)
      Members_.join();
    Members_.settle();
    Fleet_.run(Seconds(3));
    Load_.fill(600, Fleet_.now());
  }

  void apply(const Change &Next) {
    switch (Next.Kind_) {
    case 0:
      if (Members_.live().size() < 6)
        Members_.lag(Members_.join(), Millis(Random_() % 3000));
      break;
    case 1:
      if (const auto Entry = pick(Next.Which_))
        Members_.leave(*Entry);
      break;
    case 2:
      drain(Next.Which_, true);
      break;
    case 3:
      drain(Next.Which_, false);
      break;
    case 4:
      Doc_.at(Next.Which_ % 2)
          .Upstreams_.push_back(Doc_.fresh(Next.Which_ % 2));
      distribute(true);
      break;
    case 5:
      removeDrained(Next.Which_ % 2);
      break;
    case 6:
      if (const auto Entry = pick(Next.Which_))
        Members_.die(*Entry);
      break;
    default:
      if (const auto Entry = pick(Next.Which_))
        Members_.pause(*Entry, Seconds(2 + Next.Which_ % 10));
      break;
    }
    run(Apart_ + Millis(100) * Next.Tenths_);
  }

  void run(Nanos Span) {
    for (const TimePoint End = Fleet_.now() + Span; Fleet_.now() < End;) {
      Fleet_.step();
      Load_.advance(Fleet_.now());
    }
  }
  [[nodiscard]] const LoadFigures &finish() {
    run(Seconds(15));
    Load_.touchAll(Fleet_.now());
    return Load_.figures();
  }

private:
  /// An entry that may go, as long as two others stay.
  std::optional<std::size_t> pick(unsigned Which) {
    std::vector<std::size_t> Ready;
    for (const std::size_t Each : Members_.live())
      if (Fleet_.serves(Each) && !Fleet_.director(Each).homes().leaving())
        Ready.push_back(Each);
    if (Ready.size() < 3)
      return std::nullopt;
    return Ready[Which % Ready.size()];
  }

  void drain(unsigned Which, bool Leaving) {
    config::Service &Of = Doc_.at(Which % 2);
    std::size_t Ready = 0;
    for (const config::Upstream &Each : Of.Upstreams_)
      Ready += Each.Drain_ ? 0 : 1;
    if (Leaving && Ready <= 3)
      return;
    Of.Upstreams_[(Which / 2) % Of.Upstreams_.size()].Drain_ = Leaving;
    distribute(true);
  }

  void removeDrained(std::size_t Service) {
    std::erase_if(Doc_.at(Service).Upstreams_,
                  [](const config::Upstream &Each) { return Each.Drain_; });
    distribute(true);
  }

  /// Gives the document to all entries, to each at its own time when Apart.
  void distribute(bool Apart) {
    const config::InForcePtr Next = Doc_.build();
    Load_.document(Next->Environment_);
    if (!Apart) {
      Fleet_.document(Next);
      return;
    }
    for (std::size_t I = 0; I < Fleet_.size(); ++I)
      Fleet_.schedule(Millis(Random_() % 2000),
                      [this, I, Next] { Fleet_.document(I, Next); });
    Fleet_.schedule(Seconds(2), [this, Next] { Fleet_.document(Next); });
  }

  Nanos Apart_;
  Random Random_;
  FlowFleet Fleet_;
  FleetMembership Members_;
  SprayedLoad Load_;
  DocumentBuilder Doc_;
};

rc::Gen<std::vector<Change>> changes(unsigned Kinds) {
  return rc::gen::resize(
      12, rc::gen::container<std::vector<Change>>(rc::gen::build<Change>(
              rc::gen::set(&Change::Kind_, rc::gen::inRange(0U, Kinds)),
              rc::gen::set(&Change::Which_, rc::gen::inRange(0U, 1000U)),
              rc::gen::set(&Change::Tenths_, rc::gen::inRange(0U, 40U)))));
}

void showValue(const Change &Each, std::ostream &Out) {
  Out << "{" << Each.Kind_ << "," << Each.Which_ << "," << Each.Tenths_ << "}";
}

/// Checks Property over 25 orders with a fixed seed.
template <typename Fn> void checkOrders(Fn Property) {
  rc::detail::TestParams Fixed;
  Fixed.seed = 4;
  Fixed.maxSuccess = 25;
  Fixed.maxSize = 12;
  Fixed.disableShrinking = true; // a failing order would take minutes
  const rc::detail::TestMetadata Told;
  const auto Result = rc::detail::checkTestable(Property, Told, Fixed);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  INFO(Text.str());
  const bool Held = Result.template is<rc::detail::SuccessResult>();
  CHECK(Held);
}

/// Runs one order of changes, Apart or more from each other.
LoadFigures runOrder(unsigned Kinds, Nanos Apart) {
  const auto Order = *changes(Kinds);
  Scene On(*rc::gen::inRange<std::uint64_t>(1, 1000), Apart);
  for (const Change &Each : Order)
    On.apply(Each);
  return On.finish();
}

} // namespace

TEST_CASE("one flow, one upstream over random orders of planned changes") {
  checkOrders([] {
    const LoadFigures Saw = runOrder(PlannedKinds, Seconds(2));
    RC_ASSERT(Saw.Opened_ > 600U);
    RC_ASSERT(Saw.Broken_ == 0U);
    RC_ASSERT(Saw.Misrouted_ == 0U);
  });
}

TEST_CASE("no packet is dropped over random orders of planned changes",
          "[.][known_red]") {
  checkOrders([] {
    const LoadFigures Saw = runOrder(PlannedKinds, Seconds(2));
    RC_ASSERT(Saw.Dropped_ == 0U);
  });
}

TEST_CASE("no packet goes astray while entries also die and stand still") {
  checkOrders([] {
    const LoadFigures Saw = runOrder(AllKinds, Seconds(2));
    RC_ASSERT(Saw.Opened_ > 600U);
    RC_ASSERT(Saw.Misrouted_ == 0U);
  });
}

TEST_CASE("one flow, one upstream while planned changes come at once",
          "[.][known_red]") {
  checkOrders([] {
    const LoadFigures Saw = runOrder(PlannedKinds, Millis(100));
    RC_ASSERT(Saw.Broken_ == 0U);
    RC_ASSERT(Saw.Misrouted_ == 0U);
  });
}
