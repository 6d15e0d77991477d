#include <medlarmoor/membership/entry_lifecycle.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace medlarmoor::membership {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct Contacted {};
struct MembersLearned {};
struct LeaseLapsed {};
struct Resumed {};
struct Leave {};
struct HandoffComplete {};

/// The states and transitions. Valid_ is false if the last event was not valid
/// in the state in which it arrived.
struct Definition : msm::front::state_machine_def<Definition> {
  struct Starting : msm::front::state<> {};
  struct Joining : msm::front::state<> {};
  struct Live : msm::front::state<> {};
  struct Paused : msm::front::state<> {};
  struct Leaving : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Starting;

  // clang-format off
  struct transition_table : mpl::vector<
      //  from      event            to        action guard
      Row<Starting, Contacted,       Joining,  none,  none>,
      Row<Starting, Leave,           Leaving,  none,  none>,
      Row<Joining,  MembersLearned,  Live,     none,  none>,
      Row<Joining,  LeaseLapsed,     Paused,   none,  none>,
      Row<Joining,  Leave,           Leaving,  none,  none>,
      Row<Live,     LeaseLapsed,     Paused,   none,  none>,
      Row<Live,     Leave,           Leaving,  none,  none>,
      Row<Paused,   Resumed,         Joining,  none,  none>,
      Row<Paused,   Leave,           Leaving,  none,  none>,
      Row<Leaving,  HandoffComplete, Stopped,  none,  none>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {
    Valid_ = false;
  }

  bool Valid_ = true;
};

} // namespace

struct EntryLifecycle::Impl {
  using Machine = msm::back::state_machine<Definition>;

  template <typename Event> bool process(const Event &Received) {
    Machine_.Valid_ = true;
    Machine_.process_event(Received);
    return Machine_.Valid_;
  }

  Machine Machine_;
};

EntryLifecycle::EntryLifecycle() : Impl_(std::make_unique<Impl>()) {
  Impl_->Machine_.start();
}

EntryLifecycle::~EntryLifecycle() = default;

EntryState EntryLifecycle::state() const noexcept {
  // Boost.MSM numbers the states in the order in which they first appear as the
  // source of a row, then as a target. The enumerators have the same order.
  return static_cast<EntryState>(Impl_->Machine_.current_state()[0]);
}

bool EntryLifecycle::contacted() { return Impl_->process(Contacted{}); }
bool EntryLifecycle::membersLearned() {
  return Impl_->process(MembersLearned{});
}
bool EntryLifecycle::leaseLapsed() { return Impl_->process(LeaseLapsed{}); }
bool EntryLifecycle::resumed() { return Impl_->process(Resumed{}); }
bool EntryLifecycle::leave() { return Impl_->process(Leave{}); }
bool EntryLifecycle::handoffComplete() {
  return Impl_->process(HandoffComplete{});
}

} // namespace medlarmoor::membership
