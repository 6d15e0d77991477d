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
struct Learned {};
struct Lapsed {};
struct Woken {};
struct Leave {};
struct HandedOver {};

/// The front end of the state machine; Valid_ tells about the last event.
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
      //  from      event       to        action guard
      Row<Starting, Contacted,  Joining,  none,  none>,
      Row<Starting, Leave,      Leaving,  none,  none>,
      Row<Joining,  Learned,    Live,     none,  none>,
      Row<Joining,  Lapsed,     Paused,   none,  none>,
      Row<Joining,  Leave,      Leaving,  none,  none>,
      Row<Live,     Lapsed,     Paused,   none,  none>,
      Row<Live,     Leave,      Leaving,  none,  none>,
      Row<Paused,   Woken,      Joining,  none,  none>,
      Row<Paused,   Leave,      Leaving,  none,  none>,
      Row<Leaving,  HandedOver, Stopped,  none,  none>> {};
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

  template <typename Event> bool process(const Event &Each) {
    Machine_.Valid_ = true;
    Machine_.process_event(Each);
    return Machine_.Valid_;
  }

  Machine Machine_;
};

EntryLifecycle::EntryLifecycle() : Impl_(std::make_unique<Impl>()) {
  Impl_->Machine_.start();
}

EntryLifecycle::~EntryLifecycle() = default;

EntryState EntryLifecycle::state() const noexcept {
  // The states are numbered as they first appear as the source of a row, then
  // as a target; the enumerators have the same order.
  return static_cast<EntryState>(Impl_->Machine_.current_state()[0]);
}

bool EntryLifecycle::contacted() { return Impl_->process(Contacted{}); }
bool EntryLifecycle::learned() { return Impl_->process(Learned{}); }
bool EntryLifecycle::lapsed() { return Impl_->process(Lapsed{}); }
bool EntryLifecycle::woken() { return Impl_->process(Woken{}); }
bool EntryLifecycle::leave() { return Impl_->process(Leave{}); }
bool EntryLifecycle::handedOver() { return Impl_->process(HandedOver{}); }

} // namespace medlarmoor::membership
