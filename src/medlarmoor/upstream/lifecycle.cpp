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

/// The transition table. The states first appear in it in the order of
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
  using Transition = front::Row<From, Event, To>;
  struct transition_table
      : boost::mpl::vector<Transition<Warming, Warmed, Ready>,
                           Transition<Ready, FellSilent, Silent>,
                           Transition<Silent, Drained, Draining>,
                           Transition<Draining, Removed, Gone>,
                           Transition<Warming, FellSilent, Silent>,
                           Transition<Silent, Answered, Warming>,
                           Transition<Warming, Drained, Draining>,
                           Transition<Ready, Drained, Draining>,
                           Transition<Draining, Restored, Warming>,
                           Transition<Gone, Restored, Warming>,
                           Transition<Warming, Removed, Gone>,
                           Transition<Ready, Removed, Gone>,
                           Transition<Silent, Removed, Gone>> {};

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
  Back &StateMachine = Machine_->Back_;
  switch (Event) {
  case LifecycleEvent::Warmed:
    StateMachine.process_event(Warmed{});
    break;
  case LifecycleEvent::Drained:
    StateMachine.process_event(Drained{});
    break;
  case LifecycleEvent::Restored:
    StateMachine.process_event(Restored{});
    break;
  case LifecycleEvent::Removed:
    StateMachine.process_event(Removed{});
    break;
  case LifecycleEvent::FellSilent:
    StateMachine.process_event(FellSilent{});
    break;
  case LifecycleEvent::Answered:
    StateMachine.process_event(Answered{});
    break;
  }
  Phase_ = phaseOf(StateMachine.current_state()[0]);
}

} // namespace medlarmoor::upstream
