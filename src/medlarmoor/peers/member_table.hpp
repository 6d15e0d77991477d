#ifndef MEDLARMOOR_PEERS_MEMBER_TABLE_HPP
#define MEDLARMOOR_PEERS_MEMBER_TABLE_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/peers/member.hpp>

#include <map>
#include <vector>

namespace medlarmoor::peers {

/// The other instances that this one has heard of lately. Gossip keeps it
/// current; it is a hint whom to tell, not a membership that anyone relies on.
class MemberTable {
public:
  /// Seeds are asked for as long as too few others are known.
  MemberTable(Endpoint Self, std::vector<Endpoint> Seeds, Random Source);

  /// An instance was heard of, Member.Age_ ago. Tells whether it was unknown.
  bool heard(const Member &Each, TimePoint Now);
  /// Replaces the seeds.
  void setSeeds(std::vector<Endpoint> Seeds);
  /// Forgets members that nobody has heard of for long, and gives them.
  std::vector<Endpoint> expire(TimePoint Now);

  /// All members.
  [[nodiscard]] std::vector<Endpoint> all() const;
  /// All members in a failure domain.
  [[nodiscard]] std::vector<Endpoint> inDomain(const DomainName &Domain) const;
  /// Whom to gossip with next: a few members, and seeds when members are few.
  [[nodiscard]] std::vector<Endpoint> gossipTargets();
  /// Members to tell of in an announcement, with their ages.
  [[nodiscard]] std::vector<Member> sample(TimePoint Now);
  /// How many members come before this instance in the order in which they
  /// take over from a reader that fell silent.
  [[nodiscard]] std::size_t rank() const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return Members_.size(); }

private:
  struct Record {
    DomainName Domain_;
    TimePoint HeardAt_{};
  };

  Endpoint Self_;
  std::vector<Endpoint> Seeds_;
  Random Source_;
  std::map<Endpoint, Record> Members_;
};

/// The order in which instances prefer each other as readers; lower is better.
[[nodiscard]] std::uint64_t precedence(Endpoint Each) noexcept;

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_MEMBER_TABLE_HPP
