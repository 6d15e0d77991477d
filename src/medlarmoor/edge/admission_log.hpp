#ifndef MEDLARMOOR_EDGE_ADMISSION_LOG_HPP
#define MEDLARMOOR_EDGE_ADMISSION_LOG_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/edge/decision.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/log_budget.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace medlarmoor::edge {

/// Counts and logs the flows that wait for a free slot or are refused because
/// there is none.
class AdmissionLog {
public:
  /// LoadAge returns the age of the peers' load reports at a time, or -1 ms if
  /// there are none.
  AdmissionLog(std::function<Millis(TimePoint)> LoadAge,
               telemetry::EventLog &Log, telemetry::Registry &Metrics);

  void recordHeld(const affinity::FlowKey &Flow, const QueueState &State,
                  TimePoint Now);
  /// Records that a flow of this priority waits no longer.
  void recordReleased(unsigned Priority);
  /// Records a flow that was placed after it had waited.
  void recordPlaced(const QueueState &State);
  /// Reason names the reason in the log.
  void recordRefused(const affinity::FlowKey &Flow, const QueueState &State,
                     const char *Reason, TimePoint Now);
  /// Logs how many lines the rate limits have omitted.
  void flush(TimePoint Now);

private:
  /// The figures of one priority.
  struct Figures {
    telemetry::Gauge &Waiting_;
    telemetry::Counter &Held_;
    telemetry::Counter &Placed_;
    telemetry::Counter &Refused_;
    telemetry::Histogram &WaitTimes_;
  };

  Figures &figures(unsigned Priority);
  /// Returns the age of the peers' load reports in milliseconds, or -1.
  [[nodiscard]] std::int64_t loadAge(TimePoint Now) const;

  std::function<Millis(TimePoint)> LoadAge_;
  telemetry::EventLog &Log_;
  telemetry::Registry &Metrics_;
  std::map<unsigned, Figures> Figures_;
  telemetry::LogBudget HeldLines_;
  telemetry::LogBudget RefusedLines_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_ADMISSION_LOG_HPP
