#include <medlarmoor/peers/member_table.hpp>

#include <medlarmoor/core/overloaded.hpp>

#include <algorithm>
#include <iterator>

namespace medlarmoor::peers {

namespace {

/// A member that no instance has heard from for this long is evicted. This is
/// several rounds of gossip, so that ages have spread.
constexpr Millis MemberLifetime{10'000};
/// A member that was heard from within this time is probably running.
constexpr Millis RecentlyHeard{4'000};
/// Maximum number of members of the own failure domain, and of the others. A
/// random part of a large fleet is enough to reach all of it.
constexpr std::size_t MaxLocalMembers = 32;
constexpr std::size_t MaxRemoteMembers = 32;
/// Maximum number of members in one announcement; with the names of their
/// failure domains they fit a datagram.
constexpr std::size_t MaxSampledMembers = 24;
/// Number of members that one round of gossip contacts.
constexpr std::size_t GossipFanout = 2;
/// With fewer members than this, gossip also goes to all seeds.
constexpr std::size_t MinMembersWithoutSeeds = 3;

} // namespace

MemberTable::MemberTable(Endpoint Self, DomainName LocalDomain,
                         std::vector<Endpoint> Seeds, Random RandomSource)
    : Self_(Self), LocalDomain_(std::move(LocalDomain)), Random_(RandomSource) {
  setSeeds(std::move(Seeds));
}

void MemberTable::setSeeds(std::vector<Endpoint> Seeds) {
  Seeds_ = std::move(Seeds);
  std::erase(Seeds_, Self_);
}

bool MemberTable::observe(const Member &Observed, TimePoint Now) {
  if (Observed.Address_ == Self_ || Observed.Age_ >= MemberLifetime)
    return false;
  const auto [Position, Inserted] = Members_.try_emplace(Observed.Address_);
  Record &Known = Position->second;
  Known.LastHeardAt_ = std::max(Known.LastHeardAt_, Now - Observed.Age_);
  if (!Inserted)
    return false;
  Known.Domain_ = Observed.Domain_;
  const bool Local = isLocal(Known);
  LocalMembers_ += Local ? 1 : 0;
  evictSurplus(Local);
  return Members_.contains(Observed.Address_);
}

void MemberTable::evictSurplus(bool Local) {
  const std::size_t Count =
      Local ? LocalMembers_ : Members_.size() - LocalMembers_;
  if (Count <= (Local ? MaxLocalMembers : MaxRemoteMembers))
    return;
  auto Oldest = Members_.end();
  for (auto It = Members_.begin(); It != Members_.end(); ++It)
    if (isLocal(It->second) == Local &&
        (Oldest == Members_.end() ||
         It->second.LastHeardAt_ < Oldest->second.LastHeardAt_))
      Oldest = It;
  LocalMembers_ -= Local ? 1 : 0;
  Members_.erase(Oldest);
}

std::size_t MemberTable::expire(TimePoint Now) {
  return std::erase_if(Members_, [&](const auto &Item) {
    const bool Lost = Now - Item.second.LastHeardAt_ >= MemberLifetime;
    LocalMembers_ -= Lost && isLocal(Item.second) ? 1 : 0;
    return Lost;
  });
}

std::vector<Endpoint> MemberTable::all() const {
  std::vector<Endpoint> Addresses;
  for (const auto &[Address, Known] : Members_)
    Addresses.push_back(Address);
  return Addresses;
}

std::vector<placement::FleetMember> MemberTable::fleet() const {
  std::vector<placement::FleetMember> Fleet;
  for (const auto &[Address, Known] : Members_)
    Fleet.push_back({Address, Known.Domain_});
  return Fleet;
}

std::vector<Endpoint> MemberTable::localTargets(std::size_t Max) {
  std::vector<Endpoint> Local;
  for (const auto &[Address, Known] : Members_)
    if (isLocal(Known))
      Local.push_back(Address);
  std::vector<Endpoint> Targets;
  std::sample(Local.begin(), Local.end(), std::back_inserter(Targets), Max,
              Random_);
  return Targets;
}

std::vector<Endpoint> MemberTable::gossipTargets() {
  const std::vector<Endpoint> Known = all();
  std::vector<Endpoint> Targets;
  std::sample(Known.begin(), Known.end(), std::back_inserter(Targets),
              GossipFanout, Random_);
  if (Known.size() < MinMembersWithoutSeeds)
    Targets.insert(Targets.end(), Seeds_.begin(), Seeds_.end());
  else if (!Seeds_.empty())
    // Reconnects groups of instances that a long partition has separated.
    Targets.push_back(Seeds_[Random_() % Seeds_.size()]);
  return Targets;
}

std::vector<Endpoint> MemberTable::spreadTargets(const Fanout &Policy,
                                                 TimePoint Now) {
  return std::visit(
      Overloaded{[&](const RandomFanout &Count) {
                   std::vector<std::pair<Endpoint, const Record *>> Order;
                   for (const auto &[Address, Known] : Members_)
                     Order.emplace_back(Address, &Known);
                   std::shuffle(Order.begin(), Order.end(), Random_);
                   std::stable_partition(
                       Order.begin(), Order.end(), [&](const auto &Item) {
                         return Now - Item.second->LastHeardAt_ < RecentlyHeard;
                       });
                   std::vector<Endpoint> Targets;
                   const auto Take = [&](std::size_t Limit, bool LocalOnly) {
                     std::erase_if(Order, [&](const auto &Item) {
                       if (Targets.size() >= Limit ||
                           (LocalOnly && !isLocal(*Item.second)))
                         return false;
                       Targets.push_back(Item.first);
                       return true;
                     });
                   };
                   Take(Count.Local_, true);
                   Take(Count.Local_ + Count.Any_, false);
                   return Targets;
                 },
                 [&](const AllMembers &) { return all(); }},
      Policy);
}

std::vector<Member> MemberTable::sample(TimePoint Now) {
  std::vector<Member> Candidates;
  for (const auto &[Address, Known] : Members_)
    Candidates.push_back(
        {Address, Known.Domain_,
         std::chrono::duration_cast<Millis>(Now - Known.LastHeardAt_)});
  std::vector<Member> Sampled;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Sampled),
              MaxSampledMembers, Random_);
  return Sampled;
}

} // namespace medlarmoor::peers
