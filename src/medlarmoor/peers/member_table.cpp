#include <medlarmoor/peers/member_table.hpp>

#include <medlarmoor/core/hash.hpp>

#include <algorithm>
#include <iterator>

namespace medlarmoor::peers {

namespace {

/// A member that nobody heard of for this long is forgotten: some rounds of
/// gossip, so that ages have spread.
constexpr Millis MemberLifetime{10'000};
/// Members told of in one announcement; with their names they fit a datagram.
constexpr std::size_t SampleMembers = 24;
/// Members that one round of gossip reaches.
constexpr std::size_t GossipMembers = 2;
/// With fewer members than this the seeds are asked, too.
constexpr std::size_t FewMembers = 3;

} // namespace

MemberTable::MemberTable(Endpoint Self, std::vector<Endpoint> Seeds,
                         Random Source)
    : Self_(Self), Source_(Source) {
  setSeeds(std::move(Seeds));
}

void MemberTable::setSeeds(std::vector<Endpoint> Seeds) {
  Seeds_ = std::move(Seeds);
  std::erase(Seeds_, Self_);
}

bool MemberTable::heard(const Member &Each, TimePoint Now) {
  if (Each.Address_ == Self_ || Each.Age_ >= MemberLifetime)
    return false;
  const auto [At, Inserted] = Members_.try_emplace(Each.Address_);
  Record &Known = At->second;
  Known.Domain_ = Each.Domain_;
  Known.HeardAt_ = std::max(Known.HeardAt_, Now - Each.Age_);
  return Inserted;
}

std::vector<Endpoint> MemberTable::expire(TimePoint Now) {
  std::vector<Endpoint> Lost;
  for (const auto &[Address, Known] : Members_)
    if (Now - Known.HeardAt_ >= MemberLifetime)
      Lost.push_back(Address);
  for (const Endpoint Each : Lost)
    Members_.erase(Each);
  return Lost;
}

std::vector<Endpoint> MemberTable::all() const {
  std::vector<Endpoint> Out;
  for (const auto &[Address, Known] : Members_)
    Out.push_back(Address);
  return Out;
}

std::vector<Endpoint> MemberTable::inDomain(const DomainName &Domain) const {
  std::vector<Endpoint> Out;
  for (const auto &[Address, Known] : Members_)
    if (Known.Domain_ == Domain)
      Out.push_back(Address);
  return Out;
}

std::vector<Endpoint> MemberTable::gossipTargets() {
  const std::vector<Endpoint> Known = all();
  std::vector<Endpoint> Out;
  std::sample(Known.begin(), Known.end(), std::back_inserter(Out),
              GossipMembers, Source_);
  if (Known.size() < FewMembers)
    Out.insert(Out.end(), Seeds_.begin(), Seeds_.end());
  else if (!Seeds_.empty())
    // Joins parts that a partition has separated for long.
    Out.push_back(Seeds_[Source_() % Seeds_.size()]);
  return Out;
}

std::vector<Member> MemberTable::sample(TimePoint Now) {
  std::vector<Member> All;
  for (const auto &[Address, Known] : Members_)
    All.push_back({Address, Known.Domain_,
                   std::chrono::duration_cast<Millis>(Now - Known.HeardAt_)});
  std::vector<Member> Out;
  std::sample(All.begin(), All.end(), std::back_inserter(Out), SampleMembers,
              Source_);
  return Out;
}

std::size_t MemberTable::rank() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(Members_.begin(), Members_.end(), [this](const auto &Each) {
        return precedence(Each.first) < precedence(Self_);
      }));
}

std::uint64_t precedence(Endpoint Each) noexcept {
  return mix(Each.address().value(), Each.port());
}

} // namespace medlarmoor::peers
