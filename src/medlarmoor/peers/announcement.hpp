#ifndef MEDLARMOOR_PEERS_ANNOUNCEMENT_HPP
#define MEDLARMOOR_PEERS_ANNOUNCEMENT_HPP

#include <medlarmoor/peers/collection_state.hpp>
#include <medlarmoor/peers/member.hpp>
#include <medlarmoor/placement/suspect.hpp>

#include <optional>
#include <vector>

namespace medlarmoor::peers {

/// What an instance tells others about itself and about the store.
struct Announcement {
  Endpoint From_;
  DomainName Domain_;
  /// It reads the store itself and is current.
  bool Reading_ = false;
  /// Nothing before it has the collection.
  std::optional<CollectionState> Upstreams_;
  std::optional<CollectionState> Routes_;
  /// How long ago the store came back from its last outage, when that was
  /// recent.
  std::optional<Millis> StoreReturned_;
  /// Upstreams where its requests have begun to fail.
  std::vector<placement::Suspect> Suspects_;
  /// Some of the members that it knows.
  std::vector<Member> Members_;

  friend bool operator==(const Announcement &, const Announcement &) = default;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ANNOUNCEMENT_HPP
