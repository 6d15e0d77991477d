#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/ctl/internal_cost.hpp>
#include <medlarmoor/flow/consistent_table.hpp>

#include <algorithm>
#include <map>

namespace medlarmoor::ctl::internal {

using namespace config;

namespace {

using flow::ConsistentTable;
using flow::UpstreamIndex;

/// Numbers upstreams by name, equally for both documents.
using Numbers = std::map<UpstreamName, UpstreamIndex>;

const Service *find(const Environment &In, const ServiceName &Name) {
  const auto At =
      std::find_if(In.Services_.begin(), In.Services_.end(),
                   [&Name](const Service &Each) { return Each.Name_ == Name; });
  return At == In.Services_.end() ? nullptr : &*At;
}

/// The table by which the entries of Domain choose among the upstreams of
/// their own domain, or among all where it has none.
ConsistentTable tableOf(const Service &In, const DomainName &Domain,
                        Numbers &Known) {
  const auto Collect = [&](bool OwnOnly) {
    std::vector<flow::TableShare> Out;
    for (const Upstream &Each : In.Upstreams_) {
      if (Each.Drain_ || (OwnOnly && Each.Domain_ != Domain))
        continue;
      const auto Next = static_cast<UpstreamIndex>(Known.size());
      const auto Number = Known.try_emplace(Each.Name_, Next).first->second;
      Out.push_back({Number, hashText(Each.Name_.value()), Each.Weight_});
    }
    return Out;
  };
  const std::vector<flow::TableShare> Own = Collect(true);
  return ConsistentTable(Own.empty() ? Collect(false) : Own);
}

/// Counts the slots that differ, at the resolution of the larger table.
void compare(const ConsistentTable &Before, const ConsistentTable &After,
             Cost &Out) {
  Out.Slots_ = std::max(Before.slots().size(), After.slots().size());
  if (Before.empty() || After.empty()) {
    Out.Moved_ = Before.empty() ? 0 : Out.Slots_;
    return;
  }
  const std::uint64_t Step =
      (std::uint64_t{1} << flow::FlowHashBits) / Out.Slots_;
  for (std::size_t I = 0; I < Out.Slots_; ++I)
    Out.Moved_ += Before.at(I * Step) == After.at(I * Step) ? 0 : 1;
}

/// Connections of those upstreams of Domain that get no new flows any more.
std::uint64_t atStake(const Service &Before, const Service *After,
                      const DomainName &Domain) {
  std::uint64_t Out = 0;
  for (const Upstream &Each : Before.Upstreams_) {
    if (Each.Domain_ != Domain || Each.Drain_)
      continue;
    const bool Stays =
        After && std::any_of(After->Upstreams_.begin(), After->Upstreams_.end(),
                             [&Each](const Upstream &Other) {
                               return Other.Name_ == Each.Name_ &&
                                      !Other.Drain_;
                             });
    Out += Stays ? 0 : Each.Connections_;
  }
  return Out;
}

} // namespace

std::vector<Cost> costs(const Environment &Before, const Environment &After) {
  std::vector<Cost> Out;
  for (const Service &Each : Before.Services_) {
    const Service *Next = find(After, Each.Name_);
    for (const FailureDomain &Domain : Before.Domains_) {
      Numbers Known;
      const ConsistentTable Old = tableOf(Each, Domain.Name_, Known);
      const ConsistentTable New =
          Next ? tableOf(*Next, Domain.Name_, Known) : ConsistentTable();
      Cost Change{Each.Name_, Domain.Name_, 0, 0,
                  atStake(Each, Next, Domain.Name_)};
      compare(Old, New, Change);
      if (Change.Moved_ > 0 || Change.FlowsAtStake_ > 0)
        Out.push_back(Change);
    }
  }
  return Out;
}

} // namespace medlarmoor::ctl::internal
