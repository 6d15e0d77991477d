#include <medlarmoor/upstream/lifecycle.hpp>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace medlarmoor::upstream {

namespace {

namespace front = boost::msm::front;

struct Warmed {};
struct Drained {};
struct Restored {};
struct Removed {};
struct FellSilent {};
struct Answered {};

/// The transitions. The order of the states' first mention is that of
/// LifecyclePhase.
struct Front : front::state_machine_def<Front> {
  using no_exception_thrown = int;
  using no_message_queue = int;

  struct Warming : front::state<> {};
  struct Ready : front::state<> {};
  struct Silent : front::state<> {};
  struct Draining : front::state<> {};
  struct Gone : front::state<> {};

  using initial_state = Warming;
  template <typename From, typename Event, typename To>
  using Go = front::Row<From, Event, To>;
  struct transition_table
      : boost::mpl::vector<
            Go<Warming, Warmed, Ready>, Go<Ready, FellSilent, Silent>,
            Go<Silent, Drained, Draining>, Go<Draining, Removed, Gone>,
            Go<Warming, FellSilent, Silent>, Go<Silent, Answered, Warming>,
            Go<Warming, Drained, Draining>, Go<Ready, Drained, Draining>,
            Go<Draining, Restored, Warming>, Go<Gone, Restored, Warming>,
            Go<Warming, Removed, Gone>, Go<Ready, Removed, Gone>,
            Go<Silent, Removed, Gone>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}
};

using Back = boost::msm::back::state_machine<Front>;

template <typename State>
constexpr int IdOf =
    boost::msm::back::get_state_id<Back::stt, State>::type::value;

LifecyclePhase phaseOf(int State) noexcept {
  if (State == IdOf<Front::Warming>)
    return LifecyclePhase::Warming;
  if (State == IdOf<Front::Ready>)
    return LifecyclePhase::Ready;
  if (State == IdOf<Front::Silent>)
    return LifecyclePhase::Silent;
  if (State == IdOf<Front::Draining>)
    return LifecyclePhase::Draining;
  return LifecyclePhase::Gone;
}

} // namespace

struct Lifecycle::Machine {
  Back Back_;
};

Lifecycle::Lifecycle() : Machine_(std::make_unique<Machine>()) {
  Machine_->Back_.start();
}
Lifecycle::~Lifecycle() = default;
Lifecycle::Lifecycle(Lifecycle &&) noexcept = default;
Lifecycle &Lifecycle::operator=(Lifecycle &&) noexcept = default;

void Lifecycle::apply(LifecycleEvent Event) {
  Back &Running = Machine_->Back_;
  switch (Event) {
  case LifecycleEvent::Warmed:
    Running.process_event(Warmed{});
    break;
  case LifecycleEvent::Drained:
    Running.process_event(Drained{});
    break;
  case LifecycleEvent::Restored:
    Running.process_event(Restored{});
    break;
  case LifecycleEvent::Removed:
    Running.process_event(Removed{});
    break;
  case LifecycleEvent::FellSilent:
    Running.process_event(FellSilent{});
    break;
  case LifecycleEvent::Answered:
    Running.process_event(Answered{});
    break;
  }
  Phase_ = phaseOf(Running.current_state()[0]);
}

} // namespace medlarmoor::upstream
