#ifndef MEDLARMOOR_CONFIG_FOLLOWER_HPP
#define MEDLARMOOR_CONFIG_FOLLOWER_HPP

#include <medlarmoor/config/follower_action.hpp>
#include <medlarmoor/config/pull_plan.hpp>
#include <medlarmoor/config/push_tree.hpp>
#include <medlarmoor/config/replica.hpp>
#include <medlarmoor/config/watch_duty.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// Decides how one entry follows the document of its environment. Events go
/// in, actions come out; it does no I/O. Whatever the order, repetition or age
/// of the events, the version in force only grows and is always whole.
class Follower {
public:
  Follower(std::string Environment, EntryName Self, Clock Time, Random Source);

  /// The live members of the failure domain. Without the own name (the own
  /// lease has lapsed) this entry watches nothing and tells nobody.
  [[nodiscard]] FollowerActions onMembers(std::vector<EntryName> Live);
  /// A heartbeat of a neighbour.
  [[nodiscard]] FollowerActions onHeartbeat(const EntryName &From,
                                            ConfigVersion Version);
  /// A notice of a neighbour that it adopted Version.
  [[nodiscard]] FollowerActions onNotice(const EntryName &From,
                                         ConfigVersion Version);
  /// A neighbour that should watch the platform can't reach it.
  [[nodiscard]] FollowerActions onPlatformLost(const EntryName &From);

  /// A manifest came from the platform, by whichever call.
  [[nodiscard]] FollowerActions onManifest(const std::string &Text);
  /// The list ended; nothing when it failed.
  [[nodiscard]] FollowerActions onListed(std::optional<std::uint64_t> Revision);
  /// The watch ended; nothing when it failed.
  [[nodiscard]] FollowerActions
  onWatched(std::optional<std::uint64_t> Revision);
  /// The platform no longer keeps the revision of the watch.
  [[nodiscard]] FollowerActions onTooOld();
  /// The read of the manifest ended.
  [[nodiscard]] FollowerActions onRead(bool Answered);
  /// A part came from the platform; nothing when the read failed.
  [[nodiscard]] FollowerActions onPart(const PartId &Id,
                                       const std::optional<std::string> &Text);
  /// A pull ended with the text of an answer(), with empty text when there was
  /// nothing newer, or with nothing when it failed.
  [[nodiscard]] FollowerActions
  onPulled(const EntryName &From, const std::optional<std::string> &Text);
  /// Time has passed; to be called several times a second.
  [[nodiscard]] FollowerActions onTick();

  /// The text to answer a neighbour with that has version Have in force; empty
  /// when there is nothing newer.
  [[nodiscard]] std::string answer(ConfigVersion Have) const;
  [[nodiscard]] const Replica &replica() const noexcept { return Replica_; }
  /// The version in force at each live member, as far as it was heard.
  [[nodiscard]] std::map<EntryName, ConfigVersion> versions() const;
  /// This entry is the first of the watchers.
  [[nodiscard]] bool leads() const;
  /// This entry watches the platform.
  [[nodiscard]] bool watches() const;

private:
  FollowerActions after(FollowerActions Out);
  void fetchMissing(FollowerActions &Out);
  void announce(FollowerActions &Out);
  void report(FollowerActions &Out);
  void admitLoss(FollowerActions &Out);
  void replant();
  [[nodiscard]] bool isStranger() const;
  [[nodiscard]] bool isListening() const;

  EntryName Self_;
  Clock Clock_;
  Replica Replica_;
  PullPlan Pulls_;
  WatchDuty Duty_;
  Random Random_;
  PushTree Tree_;
  std::vector<EntryName> Live_;
  /// Until when a member counts as unable to reach the platform.
  std::map<EntryName, TimePoint> Lost_;
  /// Parts being read, and those whose read failed until they may be retried.
  std::set<PartId> Reading_;
  TimePoint RetryParts_;
  /// The leader to whom the version in force was told, and when.
  EntryName ReportedTo_;
  ConfigVersion Reported_;
  TimePoint NextReport_;
  TimePoint Started_;
  TimePoint LastTick_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FOLLOWER_HPP
