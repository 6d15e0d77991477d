#include <medlarmoor/wire/replay_guard.hpp>

namespace medlarmoor::wire {

namespace {

constexpr Nanos SilenceForgotten = 2 * ClockBound;
constexpr std::uint64_t ClockBoundSeconds = ClockBound.count();

bool isNear(std::uint64_t A, std::uint64_t B) {
  return (A > B ? A - B : B - A) <= ClockBoundSeconds;
}

} // namespace

bool ReplayGuard::admit(const EntryName &From, Incarnation Run,
                        std::uint64_t Sequence, std::uint64_t SentSeconds) {
  const auto Wall =
      std::chrono::duration_cast<Seconds>(Time_.wallNow().time_since_epoch());
  if (!isNear(SentSeconds, static_cast<std::uint64_t>(Wall.count())))
    return refuse("clock");
  const TimePoint Now = Time_.now();
  forgetSilent(Now);
  Sender &Known = Senders_[From];
  if (Run < Known.Run_)
    return refuse("incarnation");
  if (Run > Known.Run_)
    Known = Sender{Run, 0, {}, Now};
  Known.Heard_ = Now;
  return admitSequence(Known, Sequence);
}

bool ReplayGuard::admitSequence(Sender &From, std::uint64_t Sequence) {
  if (Sequence > From.Highest_) {
    const std::uint64_t Step = Sequence - From.Highest_;
    From.Seen_ =
        Step < WindowBits ? From.Seen_ << Step : std::bitset<WindowBits>();
    From.Seen_.set(0);
    From.Highest_ = Sequence;
    return true;
  }
  const std::uint64_t Back = From.Highest_ - Sequence;
  if (Back >= WindowBits || From.Seen_.test(Back))
    return refuse("replay");
  From.Seen_.set(Back);
  return true;
}

bool ReplayGuard::refuse(const char *Reason) {
  Reason_ = Reason;
  return false;
}

void ReplayGuard::forgetSilent(TimePoint Now) {
  if (Now - Swept_ < SilenceForgotten)
    return;
  Swept_ = Now;
  std::erase_if(Senders_, [Now](const auto &Each) {
    return Now - Each.second.Heard_ >= SilenceForgotten;
  });
}

} // namespace medlarmoor::wire
