#include <medlarmoor/wire/replay_guard.hpp>

namespace medlarmoor::wire {

namespace {

constexpr Nanos SenderRetention = 2 * MaxClockSkew;
constexpr std::uint64_t MaxClockSkewSeconds = MaxClockSkew.count();

bool isWithinClockSkew(std::uint64_t A, std::uint64_t B) {
  return (A > B ? A - B : B - A) <= MaxClockSkewSeconds;
}

} // namespace

bool ReplayGuard::admit(const EntryName &From, Incarnation Run,
                        std::uint64_t Sequence, std::uint64_t SentSeconds) {
  const auto Wall =
      std::chrono::duration_cast<Seconds>(Time_.wallNow().time_since_epoch());
  if (!isWithinClockSkew(SentSeconds, static_cast<std::uint64_t>(Wall.count())))
    return refuse("clock");
  const TimePoint Now = Time_.now();
  forgetSilent(Now);
  Sender &Known = Senders_[From];
  if (Run < Known.Run_)
    return refuse("incarnation");
  if (Run > Known.Run_)
    Known = Sender{Run, 0, {}, Now};
  Known.LastHeard_ = Now;
  return admitSequence(Known, Sequence);
}

bool ReplayGuard::admitSequence(Sender &Known, std::uint64_t Sequence) {
  if (Sequence > Known.Highest_) {
    const std::uint64_t Step = Sequence - Known.Highest_;
    Known.Received_ =
        Step < WindowBits ? Known.Received_ << Step : std::bitset<WindowBits>();
    Known.Received_.set(0);
    Known.Highest_ = Sequence;
    return true;
  }
  const std::uint64_t Age = Known.Highest_ - Sequence;
  if (Age >= WindowBits || Known.Received_.test(Age))
    return refuse("replay");
  Known.Received_.set(Age);
  return true;
}

bool ReplayGuard::refuse(const char *Reason) {
  Reason_ = Reason;
  return false;
}

void ReplayGuard::forgetSilent(TimePoint Now) {
  if (Now - LastSweep_ < SenderRetention)
    return;
  LastSweep_ = Now;
  std::erase_if(Senders_, [Now](const auto &Entry) {
    return Now - Entry.second.LastHeard_ >= SenderRetention;
  });
}

} // namespace medlarmoor::wire
