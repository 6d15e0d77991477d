#ifndef MEDLARMOOR_UPSTREAM_LIFECYCLE_HPP
#define MEDLARMOOR_UPSTREAM_LIFECYCLE_HPP

#include <medlarmoor/upstream/lifecycle_event.hpp>
#include <medlarmoor/upstream/lifecycle_phase.hpp>

#include <memory>

namespace medlarmoor::upstream {

/// The state machine of one upstream. The initial phase is Warming.
class Lifecycle {
public:
  Lifecycle();
  ~Lifecycle();
  Lifecycle(Lifecycle &&) noexcept;
  Lifecycle &operator=(Lifecycle &&) noexcept;

  [[nodiscard]] LifecyclePhase phase() const noexcept { return Phase_; }
  /// Applies Event. An event without a transition in this phase is ignored.
  void apply(LifecycleEvent Event);
  /// Returns true while the upstream may receive new work.
  [[nodiscard]] bool takesNewWork() const noexcept {
    return Phase_ == LifecyclePhase::Warming || Phase_ == LifecyclePhase::Ready;
  }

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
  LifecyclePhase Phase_ = LifecyclePhase::Warming;
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LIFECYCLE_HPP
