#ifndef MEDLARMOOR_ADMISSION_WAIT_QUEUE_HPP
#define MEDLARMOOR_ADMISSION_WAIT_QUEUE_HPP

#include <medlarmoor/admission/admission_limits.hpp>
#include <medlarmoor/admission/demand.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace medlarmoor::admission {

/// The flows that wait for a slot of one service. The next one to be placed is
/// that of the highest priority, among these the one that must start first to
/// meet its objective, among these the one with the least work. Operations take
/// logarithmic time.
class WaitQueue {
public:
  explicit WaitQueue(AdmissionLimits Limits);

  /// Adds a flow. Returns false if the queue is full.
  bool push(const Demand &Added);
  /// Removes and returns the flow to be placed next; no value if none waits.
  std::optional<Demand> pop(TimePoint Now);
  /// Removes and returns a flow that has waited for its maximum time; no value
  /// if there is none.
  std::optional<Demand> popOverdue(TimePoint Now);

  /// Records that a flow of this priority was refused.
  void recordRefusal(unsigned Priority, TimePoint Now);
  /// Returns true if flows of this priority have been refused for the
  /// starvation time and none was placed.
  [[nodiscard]] bool starving(unsigned Priority, TimePoint Now) const noexcept;

  /// Returns the number of waiting flows that are placed before a new one of
  /// this priority.
  [[nodiscard]] std::size_t ahead(unsigned Priority) const noexcept;
  /// Returns the number of waiting flows of this priority.
  [[nodiscard]] std::size_t count(unsigned Priority) const noexcept;
  /// Returns the expected work of these flows.
  [[nodiscard]] Nanos workAhead(unsigned Priority) const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return Overdue_.size(); }
  [[nodiscard]] bool empty() const noexcept { return Overdue_.empty(); }

private:
  /// A waiting flow, ordered by the latest start, then by the work.
  struct Waiting {
    TimePoint LatestStart_;
    Nanos Work_;
    /// Tells equal flows apart, in the order of arrival.
    std::uint64_t Sequence_;
    Demand Demand_;
    TimePoint Until_;

    friend bool operator<(const Waiting &A, const Waiting &B) noexcept {
      return std::tie(A.LatestStart_, A.Work_, A.Sequence_) <
             std::tie(B.LatestStart_, B.Work_, B.Sequence_);
    }
  };
  /// The waiting flows of one priority.
  struct Level {
    std::set<Waiting> Order_;
    Nanos Work_{0};
    /// Time of the first refusal since the last placement.
    std::optional<TimePoint> RefusedSince_;
  };
  using Levels = std::map<unsigned, Level>;

  [[nodiscard]] bool starving(const Level &Candidate,
                              TimePoint Now) const noexcept {
    return Candidate.RefusedSince_ &&
           Now - *Candidate.RefusedSince_ >= Limits_.StarvationTime_;
  }

  /// Removes a flow from its level and from Overdue_.
  Demand take(Level &From, std::set<Waiting>::iterator Position);

  AdmissionLimits Limits_;
  /// Levels by priority; kept when they are empty.
  Levels Levels_;
  struct Deadline {
    TimePoint Until_;
    std::uint64_t Sequence_;
    unsigned Priority_;
    std::set<Waiting>::iterator Position_;

    friend bool operator<(const Deadline &A, const Deadline &B) noexcept {
      return std::tie(A.Until_, A.Sequence_) < std::tie(B.Until_, B.Sequence_);
    }
  };
  /// All waiting flows by the end of their waiting time.
  std::set<Deadline> Overdue_;
  std::uint64_t LastSequence_ = 0;
};

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_WAIT_QUEUE_HPP
