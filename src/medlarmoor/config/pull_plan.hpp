#ifndef MEDLARMOOR_CONFIG_PULL_PLAN_HPP
#define MEDLARMOOR_CONFIG_PULL_PLAN_HPP

#include <medlarmoor/config/follower_action.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlarmoor::config {

/// How a pull ended.
enum class PullResult : unsigned char {
  /// The answer was adopted, or there was nothing newer.
  Done,
  /// The answer was a change from a version that is not held here.
  DidNotFit,
  /// No usable answer came.
  Failed,
};

/// Decides from whom to pull a newer document, and when: at once after a
/// notice, after a random delay when only a heartbeat tells of it, so that the
/// pushed notices come first and the pulls spread. One pull at a time.
class PullPlan {
public:
  PullPlan(Clock Time, Random Source);

  /// Forgets what those not in Live have told.
  void onMembers(const std::vector<EntryName> &Live);
  /// A neighbour has Version in force. A notice is pulled at once.
  void onHeard(const EntryName &From, ConfigVersion Version, bool IsNotice);
  /// The pull from From ended.
  void onDone(const EntryName &From, PullResult Result);
  /// The pull to begin now, for an entry that holds Have.
  [[nodiscard]] std::optional<Pull> next(ConfigVersion Have);

  /// The version that each neighbour was last heard to have in force.
  [[nodiscard]] const std::map<EntryName, ConfigVersion> &heard() const {
    return Heard_;
  }

private:
  [[nodiscard]] std::vector<EntryName> holders(ConfigVersion Version) const;
  [[nodiscard]] bool isDue(ConfigVersion Have);

  Clock Clock_;
  Random Random_;
  std::map<EntryName, ConfigVersion> Heard_;
  std::optional<EntryName> Notified_;
  std::optional<EntryName> Asked_;
  std::optional<TimePoint> DueAt_;
  std::uint32_t Failures_ = 0;
  /// The next pull asks for the whole document.
  bool Whole_ = false;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PULL_PLAN_HPP
