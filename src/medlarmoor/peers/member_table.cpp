#include <medlarmoor/peers/member_table.hpp>

#include <medlarmoor/core/hash.hpp>

#include <algorithm>
#include <iterator>

namespace medlarmoor::peers {

namespace {

/// A member that no instance has heard from for this long is evicted. This is
/// several rounds of gossip, so that ages have spread.
constexpr Millis MemberLifetime{10'000};
/// Maximum number of members in one announcement; with the names of their
/// failure domains they fit a datagram.
constexpr std::size_t MaxSampledMembers = 24;
/// Number of members that one round of gossip contacts.
constexpr std::size_t GossipFanout = 2;
/// With fewer members than this, gossip also goes to all seeds.
constexpr std::size_t MinMembersWithoutSeeds = 3;

} // namespace

MemberTable::MemberTable(Endpoint Self, std::vector<Endpoint> Seeds,
                         Random RandomSource)
    : Self_(Self), Random_(RandomSource) {
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
  Known.Domain_ = Observed.Domain_;
  Known.LastHeardAt_ = std::max(Known.LastHeardAt_, Now - Observed.Age_);
  return Inserted;
}

std::vector<Endpoint> MemberTable::expire(TimePoint Now) {
  std::vector<Endpoint> Lost;
  for (const auto &[Address, Known] : Members_)
    if (Now - Known.LastHeardAt_ >= MemberLifetime)
      Lost.push_back(Address);
  for (const Endpoint Address : Lost)
    Members_.erase(Address);
  return Lost;
}

std::vector<Endpoint> MemberTable::all() const {
  std::vector<Endpoint> Addresses;
  for (const auto &[Address, Known] : Members_)
    Addresses.push_back(Address);
  return Addresses;
}

std::vector<Endpoint> MemberTable::inDomain(const DomainName &Domain) const {
  std::vector<Endpoint> Addresses;
  for (const auto &[Address, Known] : Members_)
    if (Known.Domain_ == Domain)
      Addresses.push_back(Address);
  return Addresses;
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

std::size_t MemberTable::rank() const noexcept {
  return static_cast<std::size_t>(std::count_if(
      Members_.begin(), Members_.end(), [this](const auto &Known) {
        return precedence(Known.first) < precedence(Self_);
      }));
}

std::uint64_t precedence(Endpoint Instance) noexcept {
  return mix(Instance.address().value(), Instance.port());
}

} // namespace medlarmoor::peers
