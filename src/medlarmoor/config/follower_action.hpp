#ifndef MEDLARMOOR_CONFIG_FOLLOWER_ACTION_HPP
#define MEDLARMOOR_CONFIG_FOLLOWER_ACTION_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/part.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarmoor::config {

/// Lists the manifest together with the revision after which a watch can start.
struct ListManifests {};
/// Reads the manifest.
struct ReadManifest {};
/// Watches the manifest for changes after a revision.
struct WatchManifests {
  std::uint64_t AfterRevision_ = 0;
};
/// Reads one part from the platform.
struct ReadPart {
  PartId Id_;
};
/// Requests from a neighbour the document that it has in force, if it is newer
/// than HeldVersion_.
struct Pull {
  EntryName From_;
  ConfigVersion HeldVersion_;
};
/// Publishes the document to all threads.
struct Publish {
  ActiveConfigPtr Document_;
};
/// Notifies a neighbour of the version that is in force here.
struct NotifyMember {
  EntryName Recipient_;
  ConfigVersion Version_;
};
/// Announces to all members that this entry should watch the platform but can't
/// reach it, so that another entry watches instead.
struct AnnouncePlatformLoss {
  ConfigVersion Version_;
};
/// Reports that a manifest or part was unexpectedly rejected.
struct ReportRejection {
  std::string Reason_;
};

using FollowerAction =
    std::variant<ListManifests, ReadManifest, WatchManifests, ReadPart, Pull,
                 Publish, NotifyMember, AnnouncePlatformLoss, ReportRejection>;
using FollowerActions = std::vector<FollowerAction>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FOLLOWER_ACTION_HPP
