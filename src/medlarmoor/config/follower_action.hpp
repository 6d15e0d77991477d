#ifndef MEDLARMOOR_CONFIG_FOLLOWER_ACTION_HPP
#define MEDLARMOOR_CONFIG_FOLLOWER_ACTION_HPP

#include <medlarmoor/config/in_force.hpp>
#include <medlarmoor/config/part.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarmoor::config {

/// Read the manifest together with the revision that a watch can start after.
struct ListManifests {};
/// Read the manifest.
struct ReadManifest {};
/// Watch manifests after the revision.
struct WatchManifests {
  std::uint64_t After_ = 0;
};
/// Read one part from the platform.
struct ReadPart {
  PartId Id_;
};
/// Ask a neighbour for what it has in force beyond Have_.
struct Pull {
  EntryName From_;
  ConfigVersion Have_;
};
/// Give the document to all threads.
struct Publish {
  InForcePtr Document_;
};
/// Tell a neighbour which version is in force here.
struct Tell {
  EntryName To_;
  ConfigVersion Version_;
};
/// Tell all members that this entry should watch the platform and can't reach
/// it, so that another one does.
struct TellPlatformLost {
  ConfigVersion Version_;
};
/// Something offered was not taken, against what was to be expected.
struct Reject {
  std::string Reason_;
};

using FollowerAction =
    std::variant<ListManifests, ReadManifest, WatchManifests, ReadPart, Pull,
                 Publish, Tell, TellPlatformLost, Reject>;
using FollowerActions = std::vector<FollowerAction>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FOLLOWER_ACTION_HPP
