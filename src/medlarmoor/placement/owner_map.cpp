#include <medlarmoor/placement/owner_map.hpp>

#include <medlarmoor/core/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <map>

namespace medlarmoor::placement {

namespace {

/// The instances among which the upstreams of one failure domain are divided.
struct Group {
  std::vector<Endpoint> Instances_;
  std::size_t MaxOwned_ = 0;
  std::map<Endpoint, std::size_t> OwnedCounts_;
};

} // namespace

OwnerMap::OwnerMap(FleetMember Self) : Self_(std::move(Self)) {}

void OwnerMap::update(std::vector<Location> Upstreams,
                      std::vector<FleetMember> Others) {
  // All instances that know the same upstreams and members must assign them in
  // the same order.
  std::sort(Upstreams.begin(), Upstreams.end());
  Others.push_back(Self_);
  std::map<DomainName, Group> Groups;
  for (const auto &[Tag, Domain] : Upstreams)
    ++Groups[Domain].MaxOwned_;
  for (auto &[Domain, Divided] : Groups) {
    for (const FleetMember &Member : Others)
      if (Member.Domain_ == Domain)
        Divided.Instances_.push_back(Member.Address_);
    if (Divided.Instances_.empty())
      for (const FleetMember &Member : Others)
        Divided.Instances_.push_back(Member.Address_);
    const std::size_t Count = Divided.Instances_.size();
    Divided.MaxOwned_ = (Divided.MaxOwned_ + Count - 1) / Count;
  }

  Owners_.clear();
  RankedFirst_.clear();
  OwnedCount_ = 0;
  std::vector<std::pair<std::uint64_t, Endpoint>> Ranking;
  for (const auto &[Tag, Domain] : Upstreams) {
    Group &Divided = Groups[Domain];
    Ranking.clear();
    for (const Endpoint Instance : Divided.Instances_)
      Ranking.emplace_back(mix(Tag.value(), Instance.packed()), Instance);
    // Only a few of the highest ranks are needed, so the rest stays unsorted.
    std::make_heap(Ranking.begin(), Ranking.end());
    const Endpoint Highest = Ranking.front().second;
    if (Highest == Self_.Address_)
      RankedFirst_.insert(Tag);
    // An instance that has its share is passed over, so that shares are even.
    while (Divided.OwnedCounts_[Ranking.front().second] >= Divided.MaxOwned_) {
      std::pop_heap(Ranking.begin(), Ranking.end());
      Ranking.pop_back();
    }
    Owners &Assigned = Owners_[Tag];
    Assigned[0] = Ranking.front().second;
    ++Divided.OwnedCounts_[Assigned[0]];
    if (Assigned[0] != Highest) {
      Assigned[1] = Highest;
    } else if (Ranking.size() > 1) {
      std::pop_heap(Ranking.begin(), Ranking.end());
      Assigned[1] = Ranking.front().second;
    }
    OwnedCount_ += Assigned[0] == Self_.Address_ ? 1 : 0;
  }
}

bool OwnerMap::owns(affinity::Tag Upstream) const noexcept {
  const Owners *Found = owners(Upstream);
  return Found && (*Found)[0] == Self_.Address_;
}

const OwnerMap::Owners *
OwnerMap::owners(affinity::Tag Upstream) const noexcept {
  const auto Found = Owners_.find(Upstream);
  return Found == Owners_.end() ? nullptr : &Found->second;
}

} // namespace medlarmoor::placement
