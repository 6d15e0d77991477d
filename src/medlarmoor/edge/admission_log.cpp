#include <medlarmoor/edge/admission_log.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace medlarmoor::edge {

namespace {

/// Maximum number of log lines per second for each event. A refusal costs its
/// caller more than a wait, so more of them are logged.
constexpr std::uint32_t HeldPerSecond = 20;
constexpr std::uint32_t RefusedPerSecond = 100;
/// Routes with a higher number share the figures of this one, which bounds the
/// number of metrics.
constexpr unsigned LastPriority = 9;

} // namespace

AdmissionLog::AdmissionLog(std::function<Millis(TimePoint)> LoadAge,
                           telemetry::EventLog &Log,
                           telemetry::Registry &Metrics)
    : LoadAge_(std::move(LoadAge)), Log_(Log), Metrics_(Metrics),
      HeldLines_(HeldPerSecond), RefusedLines_(RefusedPerSecond) {
  // The metrics exist from the start, also if nothing ever waits.
  figures(0);
}

void AdmissionLog::recordHeld(const affinity::FlowKey &Flow,
                              const QueueState &State, TimePoint Now) {
  Figures &Counted = figures(State.Priority_);
  Counted.Held_.add();
  Counted.Waiting_.set(Counted.Waiting_.value() + 1);
  if (HeldLines_.take(Now))
    Log_.info("flow_held", {{"flow", Flow.text()},
                            {"priority", State.Priority_},
                            {"ahead", State.Ahead_},
                            {"predicted_ms", State.PredictedWait_.count()},
                            {"objective_ms", State.Objective_.count()},
                            {"load_age_ms", loadAge(Now)}});
}

void AdmissionLog::recordReleased(unsigned Priority) {
  Figures &Counted = figures(Priority);
  Counted.Waiting_.set(Counted.Waiting_.value() - 1);
}

void AdmissionLog::recordPlaced(const QueueState &State) {
  Figures &Counted = figures(State.Priority_);
  Counted.Placed_.add();
  Counted.WaitTimes_.record(State.Waited_);
}

void AdmissionLog::recordRefused(const affinity::FlowKey &Flow,
                                 const QueueState &State, const char *Reason,
                                 TimePoint Now) {
  Figures &Counted = figures(State.Priority_);
  Counted.Refused_.add();
  if (RefusedLines_.take(Now))
    Log_.info("flow_refused", {{"flow", Flow.text()},
                               {"reason", Reason},
                               {"priority", State.Priority_},
                               {"ahead", State.Ahead_},
                               {"predicted_ms", State.PredictedWait_.count()},
                               {"waited_ms", State.Waited_.count()},
                               {"objective_ms", State.Objective_.count()},
                               {"load_age_ms", loadAge(Now)}});
}

void AdmissionLog::flush(TimePoint Now) {
  if (const auto Count = HeldLines_.leftOut(Now))
    Log_.info("lines_left_out", {{"kind", "flow_held"}, {"count", *Count}});
  if (const auto Count = RefusedLines_.leftOut(Now))
    Log_.info("lines_left_out", {{"kind", "flow_refused"}, {"count", *Count}});
}

AdmissionLog::Figures &AdmissionLog::figures(unsigned Priority) {
  Priority = std::min(Priority, LastPriority);
  const auto Found = Figures_.find(Priority);
  if (Found != Figures_.end())
    return Found->second;
  const std::string Label = "priority=\"" + std::to_string(Priority) + "\"";
  const auto Count = [&](const char *Name) -> telemetry::Counter & {
    return Metrics_.counter("medlarmoor_admission_total",
                            "decision=\"" + std::string(Name) + "\"," + Label);
  };
  return Figures_
      .emplace(Priority,
               Figures{Metrics_.gauge("medlarmoor_admission_waiting", Label),
                       Count("held"), Count("placed"), Count("refused"),
                       Metrics_.histogram("medlarmoor_admission_wait_seconds")})
      .first->second;
}

std::int64_t AdmissionLog::loadAge(TimePoint Now) const {
  return LoadAge_ ? LoadAge_(Now).count() : -1;
}

} // namespace medlarmoor::edge
