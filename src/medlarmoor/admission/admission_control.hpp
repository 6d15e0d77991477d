#ifndef MEDLARMOOR_ADMISSION_ADMISSION_CONTROL_HPP
#define MEDLARMOOR_ADMISSION_ADMISSION_CONTROL_HPP

#include <medlarmoor/admission/verdict.hpp>
#include <medlarmoor/admission/wait_queue.hpp>
#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarmoor::admission {

/// Decides which new flows are placed, wait or are refused while the upstreams
/// of their service have no free slot. Does no I/O; the current time is passed
/// to each call.
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionLimits Limits);

  /// Decides about a new flow that does not wait yet. Saturated states that no
  /// upstream of the service has a free slot; Slots is the number of slots that
  /// this instance may count on. A flow that has to wait is added to the queue
  /// of its service. A flow is only refused if the service is saturated.
  Verdict decide(const ServiceName &Service, const Demand &Asked,
                 bool Saturated, std::uint32_t Slots, TimePoint Now);
  /// Returns true if the flow waits.
  [[nodiscard]] bool waiting(const affinity::FlowKey &Flow) const noexcept {
    return Flows_.contains(Flow);
  }
  /// Returns the services for which flows wait.
  [[nodiscard]] std::vector<ServiceName> waitingServices() const;
  /// Removes and returns the next flow of a service; to be called when an
  /// upstream has a free slot.
  std::optional<Demand> next(const ServiceName &Service, TimePoint Now);
  /// Removes and returns a flow of the service that has waited for its maximum
  /// time.
  std::optional<Demand> nextOverdue(const ServiceName &Service, TimePoint Now);
  /// Returns true if an upstream with this load and number of slots is expected
  /// to answer the flow within its objective if it is placed there now.
  [[nodiscard]] bool canMeetObjective(const Demand &Asked, double Load,
                                      std::uint32_t Slots,
                                      TimePoint Now) const noexcept;
  /// Returns the number of waiting flows.
  [[nodiscard]] std::size_t size() const noexcept { return Flows_.size(); }

private:
  /// How quickly waiting flows of one priority are placed.
  struct Pace {
    /// Moving average of the time between two placements; 0 before the first.
    Nanos Interval_{0};
    /// Time of the last placement, or since when the only flow waits.
    TimePoint Since_{};
  };
  struct Line {
    explicit Line(AdmissionLimits Limits) : Queue_(Limits) {}

    WaitQueue Queue_;
    /// How long the flows of each priority take to be placed, including the
    /// placements of more urgent flows in between.
    std::map<unsigned, Pace> Paces_;
  };

  /// Returns the time until a new flow of this priority would be placed.
  [[nodiscard]] static Nanos
  predictWait(const Line &Waiting, const Demand &Asked, std::uint32_t Slots);

  AdmissionLimits Limits_;
  std::unordered_map<ServiceName, Line> Lines_;
  std::unordered_set<affinity::FlowKey> Flows_;
};

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_ADMISSION_CONTROL_HPP
