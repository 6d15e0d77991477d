#ifndef MEDLARMOOR_PEERS_MEMBER_TABLE_HPP
#define MEDLARMOOR_PEERS_MEMBER_TABLE_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/peers/member.hpp>

#include <map>
#include <vector>

namespace medlarmoor::peers {

/// The other instances that this one has heard of recently. Gossip keeps the
/// table current. It only suggests whom to notify; no decision relies on it as
/// a membership.
class MemberTable {
public:
  /// Gossip goes to all Seeds as long as too few other instances are known.
  MemberTable(Endpoint Self, std::vector<Endpoint> Seeds, Random RandomSource);

  /// Records that Observed was heard from, Observed.Age_ ago. Returns true if
  /// this adds a member. Ignores this instance itself and a report that is too
  /// old.
  bool observe(const Member &Observed, TimePoint Now);
  /// Replaces the seeds.
  void setSeeds(std::vector<Endpoint> Seeds);
  /// Evicts members that no instance has heard from for too long, and returns
  /// them.
  std::vector<Endpoint> expire(TimePoint Now);

  /// Returns all members.
  [[nodiscard]] std::vector<Endpoint> all() const;
  /// Returns all members in a failure domain.
  [[nodiscard]] std::vector<Endpoint> inDomain(const DomainName &Domain) const;
  /// Returns the endpoints to gossip with next: a few random members, and one
  /// seed, or all seeds while few members are known.
  [[nodiscard]] std::vector<Endpoint> gossipTargets();
  /// Returns random members, with their ages, for an announcement.
  [[nodiscard]] std::vector<Member> sample(TimePoint Now);
  /// Returns the number of members that precede this instance in the order in
  /// which instances take over from a reader that fell silent.
  [[nodiscard]] std::size_t rank() const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return Members_.size(); }

private:
  struct Record {
    DomainName Domain_;
    TimePoint LastHeardAt_{};
  };

  Endpoint Self_;
  std::vector<Endpoint> Seeds_;
  Random Random_;
  std::map<Endpoint, Record> Members_;
};

/// Returns the position of an instance in the order in which instances are
/// preferred as readers; a lower value takes precedence.
[[nodiscard]] std::uint64_t precedence(Endpoint Instance) noexcept;

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_MEMBER_TABLE_HPP
