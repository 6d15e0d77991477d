#ifndef MEDLARMOOR_WIRE_REPLAY_GUARD_HPP
#define MEDLARMOOR_WIRE_REPLAY_GUARD_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/ids.hpp>

#include <bitset>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace medlarmoor::wire {

/// The greatest difference between the clocks of two entries, and so the
/// longest time for which a signed message is good.
inline constexpr Seconds ClockBound{60};

/// Lets each signed message of each sender pass once. It holds, for each
/// sender, the newest incarnation and a window of sequence numbers; a sender
/// that was silent for twice the clock bound is forgotten, since by then each
/// message it has sent is too old.
class ReplayGuard {
public:
  explicit ReplayGuard(Clock Time) : Time_(std::move(Time)) {}

  /// Whether the message is new; false with lastReason() otherwise. Call it
  /// for messages whose signature was verified.
  [[nodiscard]] bool admit(const EntryName &From, Incarnation Run,
                           std::uint64_t Sequence, std::uint64_t SentSeconds);
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }
  /// Senders remembered.
  [[nodiscard]] std::size_t size() const noexcept { return Senders_.size(); }

private:
  static constexpr std::size_t WindowBits = 1024;

  struct Sender {
    Incarnation Run_;
    std::uint64_t Highest_ = 0;
    /// Bit N stands for the sequence number Highest_ - N.
    std::bitset<WindowBits> Seen_;
    TimePoint Heard_;
  };

  bool admitSequence(Sender &From, std::uint64_t Sequence);
  bool refuse(const char *Reason);
  void forgetSilent(TimePoint Now);

  Clock Time_;
  std::unordered_map<EntryName, Sender> Senders_;
  TimePoint Swept_;
  std::string Reason_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_REPLAY_GUARD_HPP
