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

/// The result of a pull.
enum class PullResult : unsigned char {
  /// The answer was adopted, or there was nothing newer.
  Completed,
  /// The answer was a delta from a version that is not held here.
  BaseMismatch,
  /// There was no usable answer.
  Failed,
};

/// Decides from which neighbour to pull a newer document, and when. A notice
/// starts a pull at once. A version known from a heartbeat only is pulled after
/// a random delay, so that the pushed notices arrive first and the pulls spread
/// over time. One pull is in flight at a time.
class PullPlan {
public:
  PullPlan(Clock Time, Random Source);

  /// Forgets the versions of all members that are not in Live.
  void onMembers(const std::vector<EntryName> &Live);
  /// Records that a neighbour has Version in force. After a notice, next()
  /// pulls a newer version from that neighbour without delay.
  void onMemberVersion(const EntryName &From, ConfigVersion Version,
                       bool IsNotice);
  /// Records the end of the pull from From.
  void onPullEnd(const EntryName &From, PullResult Result);
  /// Returns the pull to start now, if any, for an entry that holds
  /// HeldVersion.
  [[nodiscard]] std::optional<Pull> next(ConfigVersion HeldVersion);

  /// Returns the version that each neighbour last reported to have in force.
  [[nodiscard]] const std::map<EntryName, ConfigVersion> &
  memberVersions() const {
    return MemberVersions_;
  }

private:
  [[nodiscard]] std::vector<EntryName> holders(ConfigVersion Version) const;
  [[nodiscard]] bool isDue(ConfigVersion HeldVersion);

  Clock Clock_;
  Random Random_;
  std::map<EntryName, ConfigVersion> MemberVersions_;
  std::optional<EntryName> NotifiedBy_;
  std::optional<EntryName> InFlightFrom_;
  std::optional<TimePoint> DueAt_;
  std::uint32_t Failures_ = 0;
  /// The next pull requests a full snapshot.
  bool PullSnapshot_ = false;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PULL_PLAN_HPP
