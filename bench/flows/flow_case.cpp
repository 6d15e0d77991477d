#include <bench/flows/flow_case.hpp>
#include <bench/flows/flow_stage.hpp>

#include <algorithm>

namespace medlarmoor::bench {

namespace {

/// The offices' knobs: redaccion weighs evenness, booking-portal whole flows.
constexpr double RedaccionEpsilon = 0.1;
constexpr double BookingEpsilon = 0.25;
/// Envelope of a control message: UDP and IP headers, sender, signature.
constexpr double EnvelopeBytes = 110;
constexpr double KilledShare = 0.001;

void join(FlowStage &On) { On.members().join(); }

void drain(FlowStage &On) { On.drainFirst(); }

void replaceOne(FlowStage &On) { On.replace(1); }

void replaceAll(FlowStage &On) {
  for (int I = 0; I < 5; ++I)
    On.fleet().schedule(Seconds(20 * I),
                        [&On, I] { On.replace(static_cast<std::size_t>(I)); });
}

void killOne(FlowStage &On) { On.members().die(2); }

void pauseOne(FlowStage &On) { On.members().pause(2, Seconds(10)); }

void killTwo(FlowStage &On) {
  On.members().die(1);
  On.members().die(3);
}

/// The platform's list is out of reach and configuration stands; an entry
/// dies, and the heartbeats of the others tell.
void cutOff(FlowStage &On) {
  On.fleet().schedule(Seconds(5), [&On] { On.members().die(4); });
}

void laggingList(FlowStage &On) {
  for (std::size_t I = 0; I < 5; ++I)
    On.members().lag(I, Millis(1250) * I);
  On.replace(0);
}

void entryAndUpstream(FlowStage &On) {
  On.drainFirst(Seconds(2));
  On.replace(3);
}

} // namespace

std::vector<FlowCase> flowCases() {
  return {
      {"spray", true, 20, [](FlowStage &) {}},
      {"entry_joins", true, 20, join},
      {"drain_1_of_15", true, 40, drain},
      {"entry_replaced", true, 40, replaceOne},
      {"all_entries_replaced", true, 130, replaceAll},
      {"entry_and_upstream_2s_apart", true, 40, entryAndUpstream},
      {"list_lags_5s", true, 40, laggingList},
      {"entry_killed", false, 40, killOne},
      {"entry_stopped_10s", false, 40, pauseOne},
      {"two_killed", false, 40, killTwo},
      {"domain_cut_off", false, 40, cutOff},
  };
}

bool runFlowCase(const FlowCase &Each, FlowPolicy Policy, std::uint64_t Seed) {
  bool Held = true;
  for (const double Epsilon : {RedaccionEpsilon, BookingEpsilon}) {
    FlowStage On(Policy, Seed, Epsilon);
    const harness::LoadFigures Before = On.load().figures();
    const std::uint64_t Bytes = On.controlBytes();
    const std::uint64_t Messages = On.controlMessages();
    const std::size_t Standing = On.load().open();
    Each.Happen_(On);
    On.run(Seconds(Each.Seconds_));
    On.load().touchAll(On.fleet().now());
    const harness::LoadFigures &After = On.load().figures();
    const std::uint64_t Broken = After.Broken_ - Before.Broken_;
    const std::uint64_t Misrouted = After.Misrouted_ - Before.Misrouted_;
    const std::uint64_t Late = After.LateOpens_ - Before.LateOpens_;
    const double Flows =
        static_cast<double>(Standing + After.Opened_ - Before.Opened_);
    const double Arrived = static_cast<double>(
        After.Packets_ - Before.Packets_ - (After.Lost_ - Before.Lost_));
    const double Spent =
        static_cast<double>(On.controlBytes() - Bytes) +
        EnvelopeBytes * static_cast<double>(On.controlMessages() - Messages);
    const double Share = static_cast<double>(Broken) / Flows;
    const double Imbalance = On.takeImbalance();
    Record Out{"flows", Each.Name_, name(Policy), Seed};
    Out.Figures_ = {
        {"epsilon", Epsilon},
        {"flows", Flows},
        {"broken", Broken},
        {"brokenShare", Share},
        {"misrouted", Misrouted},
        {"refused", After.Refused_ - Before.Refused_},
        {"lateOpens", Late},
        {"overLimit", After.OverLimit_},
        {"lost", After.Lost_ - Before.Lost_},
        {"dropped", After.Dropped_ - Before.Dropped_},
        {"imbalance", Imbalance},
        {"entriesPerPacket",
         static_cast<double>(After.Handled_ - Before.Handled_) / Arrived},
        {"controlBytesPerSecondPerEntry",
         Spent / Each.Seconds_ /
             static_cast<double>(On.members().live().size())}};
    if (Policy == FlowPolicy::Medlarmoor) {
      const double Most = Each.Planned_ ? 0 : KilledShare;
      Out.Bound_ = {{"brokenShare", Most},
                    {"misrouted", 0},
                    {"lateOpens", 0},
                    {"overLimit", 0},
                    {"imbalance", 1 + Epsilon}};
      Out.Held_ = Share <= Most && Misrouted == 0 && Late == 0 &&
                  After.OverLimit_ == 0 && Imbalance <= 1 + Epsilon;
    }
    print(Out);
    Held = Held && Out.Held_;
  }
  return Held;
}

} // namespace medlarmoor::bench
