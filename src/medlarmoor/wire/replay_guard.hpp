#ifndef MEDLARMOOR_WIRE_REPLAY_GUARD_HPP
#define MEDLARMOOR_WIRE_REPLAY_GUARD_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/ids.hpp>

#include <bitset>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace medlarmoor::wire {

/// The maximum difference between the clocks of two entries, and therefore the
/// longest time for which a signed message is valid.
inline constexpr Seconds MaxClockSkew{60};

/// Admits each signed message of each sender at most once. Keeps the newest
/// incarnation and a window of sequence numbers for each sender. A sender that
/// was silent for twice MaxClockSkew is forgotten, because all messages that it
/// has sent are too old by then.
class ReplayGuard {
public:
  explicit ReplayGuard(Clock Time) : Time_(std::move(Time)) {}

  /// Returns true if the message is new; otherwise returns false and sets
  /// lastReason(). Call it only for messages whose signature has been verified.
  [[nodiscard]] bool admit(const EntryName &From, Incarnation Run,
                           std::uint64_t Sequence, std::uint64_t SentSeconds);
  /// Returns why admit() last refused: clock, incarnation or replay.
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }
  /// Returns the number of senders that are currently tracked.
  [[nodiscard]] std::size_t size() const noexcept { return Senders_.size(); }

private:
  static constexpr std::size_t WindowBits = 1024;

  struct Sender {
    Incarnation Run_;
    std::uint64_t Highest_ = 0;
    /// Bit N is set if sequence number Highest_ - N was received.
    std::bitset<WindowBits> Received_;
    TimePoint LastHeard_;
  };

  bool admitSequence(Sender &Known, std::uint64_t Sequence);
  bool refuse(const char *Reason);
  void forgetSilent(TimePoint Now);

  Clock Time_;
  std::unordered_map<EntryName, Sender> Senders_;
  TimePoint LastSweep_;
  std::string Reason_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_REPLAY_GUARD_HPP
