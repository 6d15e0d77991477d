#ifndef MEDLARMOOR_PEERS_MEMBER_TABLE_HPP
#define MEDLARMOOR_PEERS_MEMBER_TABLE_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/peers/fanout.hpp>
#include <medlarmoor/peers/member.hpp>
#include <medlarmoor/placement/fleet_member.hpp>

#include <map>
#include <vector>

namespace medlarmoor::peers {

/// The other instances that this one has heard of recently: all of a small
/// fleet, a bounded part of a large one. Gossip keeps the table current. It
/// only suggests whom to notify; no decision relies on it as a membership.
class MemberTable {
public:
  /// LocalDomain is the failure domain of this instance. Gossip goes to all
  /// Seeds as long as too few other instances are known.
  MemberTable(Endpoint Self, DomainName LocalDomain,
              std::vector<Endpoint> Seeds, Random RandomSource);

  /// Records that Observed was heard from, Observed.Age_ ago. Returns true if
  /// this adds a member. Ignores this instance itself and a report that is too
  /// old. A full table evicts the member that was heard from longest ago.
  bool observe(const Member &Observed, TimePoint Now);
  /// Replaces the seeds.
  void setSeeds(std::vector<Endpoint> Seeds);
  /// Evicts members that no instance has heard from for too long. Returns how
  /// many.
  std::size_t expire(TimePoint Now);

  /// Returns all members.
  [[nodiscard]] std::vector<Endpoint> all() const;
  /// Returns all members with their failure domains, in a fixed order.
  [[nodiscard]] std::vector<placement::FleetMember> fleet() const;
  /// Returns random members of the local failure domain, at most Max.
  [[nodiscard]] std::vector<Endpoint> localTargets(std::size_t Max);
  /// Returns the endpoints to gossip with next: a few random members, and one
  /// seed, or all seeds while few members are known.
  [[nodiscard]] std::vector<Endpoint> gossipTargets();
  /// Returns the endpoints to which news are passed on: random members, those
  /// heard from recently first.
  [[nodiscard]] std::vector<Endpoint> spreadTargets(const Fanout &Policy,
                                                    TimePoint Now);
  /// Returns random members, with their ages, for an announcement.
  [[nodiscard]] std::vector<Member> sample(TimePoint Now);
  [[nodiscard]] std::size_t size() const noexcept { return Members_.size(); }

private:
  struct Record {
    DomainName Domain_;
    TimePoint LastHeardAt_{};
  };

  /// Evicts the member that was heard from longest ago among those of the local
  /// domain, or among the others, if there are too many of them.
  void evictSurplus(bool Local);
  [[nodiscard]] bool isLocal(const Record &Known) const noexcept {
    return Known.Domain_ == LocalDomain_;
  }

  Endpoint Self_;
  DomainName LocalDomain_;
  std::vector<Endpoint> Seeds_;
  Random Random_;
  std::map<Endpoint, Record> Members_;
  std::size_t LocalMembers_ = 0;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_MEMBER_TABLE_HPP
