#ifndef MEDLARMOOR_CONFIG_FOLLOWER_HPP
#define MEDLARMOOR_CONFIG_FOLLOWER_HPP

#include <medlarmoor/config/follower_action.hpp>
#include <medlarmoor/config/pull_plan.hpp>
#include <medlarmoor/config/push_tree.hpp>
#include <medlarmoor/config/replica.hpp>
#include <medlarmoor/config/watch_scheduler.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// Decides how one entry follows the document of its environment. Takes events
/// and returns actions; does no I/O. The version in force only increases and is
/// always complete, even if events are reordered, repeated or out of date.
class Follower {
public:
  Follower(std::string Environment, EntryName Self, Clock Time, Random Source);

  /// Records the live members of the failure domain. If the list is not empty
  /// but lacks this entry (its lease has lapsed), the entry neither watches the
  /// platform nor notifies anyone.
  [[nodiscard]] FollowerActions onMembers(std::vector<EntryName> Live);
  /// Records a heartbeat of a neighbour that has Version in force.
  [[nodiscard]] FollowerActions onHeartbeat(const EntryName &From,
                                            ConfigVersion Version);
  /// Records a notice of a neighbour that it adopted Version.
  [[nodiscard]] FollowerActions onNotice(const EntryName &From,
                                         ConfigVersion Version);
  /// Records that a neighbour that should watch the platform can't reach it.
  [[nodiscard]] FollowerActions onPlatformLost(const EntryName &From);

  /// Processes a manifest that a list, watch or read call returned.
  [[nodiscard]] FollowerActions onManifest(const std::string &Text);
  /// Records the end of the list call with its revision, or nullopt if the call
  /// failed.
  [[nodiscard]] FollowerActions
  onListEnd(std::optional<StoreRevision> Revision);
  /// Records the end of the watch call with the revision that it reached, or
  /// nullopt if the call failed.
  [[nodiscard]] FollowerActions
  onWatchEnd(std::optional<StoreRevision> Revision);
  /// Records that the platform no longer keeps the revision of the watch.
  [[nodiscard]] FollowerActions onWatchExpired();
  /// Records the end of the read of the manifest. Answered is false if the read
  /// failed.
  [[nodiscard]] FollowerActions onReadEnd(bool Answered);
  /// Records the end of the read of a part with its text, or nullopt if the
  /// read failed.
  [[nodiscard]] FollowerActions onPart(const PartId &Id,
                                       const std::optional<std::string> &Text);
  /// Records the end of a pull with the text that pullAnswer() returned at the
  /// neighbour. The text is empty if there was nothing newer, and nullopt if
  /// the pull failed.
  [[nodiscard]] FollowerActions
  onPullEnd(const EntryName &From, const std::optional<std::string> &Text);
  /// Starts whatever has become due. Must be called several times a second.
  [[nodiscard]] FollowerActions onTick();

  /// Returns the manifest text for a neighbour that has HeldVersion in force;
  /// empty if there is nothing newer.
  [[nodiscard]] std::string pullAnswer(ConfigVersion HeldVersion) const;
  [[nodiscard]] const Replica &replica() const noexcept { return Replica_; }
  /// Returns the version in force at each live member that has reported one,
  /// and at this entry.
  [[nodiscard]] std::map<EntryName, ConfigVersion> versions() const;
  /// Returns true if this entry is the leader, that is the first of the
  /// watchers, or acts on its own because it knows no members.
  [[nodiscard]] bool leads() const;
  /// Returns true if this entry watches the platform.
  [[nodiscard]] bool watches() const;

private:
  FollowerActions addDueActions(FollowerActions Actions);
  void readMissingParts(FollowerActions &Actions);
  void publishAndNotify(FollowerActions &Actions);
  void reportVersion(FollowerActions &Actions);
  void announcePlatformLoss(FollowerActions &Actions);
  void rebuildTree();
  [[nodiscard]] bool actsAlone() const;
  [[nodiscard]] bool isListening() const;

  EntryName Self_;
  Clock Clock_;
  Replica Replica_;
  PullPlan Pulls_;
  WatchScheduler Scheduler_;
  Random Random_;
  PushTree Tree_;
  std::vector<EntryName> Live_;
  /// The members that can't reach the platform, each with the time from which
  /// it counts as able to reach it again.
  std::map<EntryName, TimePoint> UnreachableUntil_;
  /// The parts whose read is in flight. After a failed or rejected part no
  /// reads start until RetryPartsAt_.
  std::set<PartId> PartReadsInFlight_;
  TimePoint RetryPartsAt_;
  /// The leader to which the version in force is reported, the version reported
  /// last, and the earliest time of the next report.
  EntryName ReportedTo_;
  ConfigVersion ReportedVersion_;
  TimePoint NextReportAt_;
  TimePoint StartedAt_;
  TimePoint LastTickAt_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FOLLOWER_HPP
