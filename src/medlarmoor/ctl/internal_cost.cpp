#include <medlarmoor/ctl/internal_cost.hpp>

#include <algorithm>
#include <map>

namespace medlarmoor::ctl::internal {

using namespace config;

namespace {

using Shares = std::map<UpstreamName, double>;

const Service *find(const Environment &In, const ServiceName &Name) {
  const auto At =
      std::find_if(In.Services_.begin(), In.Services_.end(),
                   [&Name](const Service &Each) { return Each.Name_ == Name; });
  return At == In.Services_.end() ? nullptr : &*At;
}

/// The shares of new flows that the entries of Domain give the upstreams: to
/// those of their own domain, or to all where it has none.
Shares sharesOf(const Service &In, const DomainName &Domain) {
  const auto Collect = [&](bool OwnOnly) {
    Shares Out;
    double Sum = 0;
    for (const Upstream &Each : In.Upstreams_)
      if (!Each.Drain_ && (!OwnOnly || Each.Domain_ == Domain)) {
        Out[Each.Name_] = Each.Weight_;
        Sum += Each.Weight_;
      }
    for (auto &[Name, Share] : Out)
      Share /= Sum;
    return Out;
  };
  Shares Own = Collect(true);
  return Own.empty() ? Collect(false) : Own;
}

/// What the upstreams together lose.
double lost(const Shares &Before, const Shares &After) {
  double Out = 0;
  for (const auto &[Name, Share] : Before) {
    const auto At = After.find(Name);
    Out += std::max(0.0, Share - (At == After.end() ? 0 : At->second));
  }
  return Out;
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
      const Shares Old = sharesOf(Each, Domain.Name_);
      const Shares New = Next ? sharesOf(*Next, Domain.Name_) : Shares();
      const Cost Change{Each.Name_, Domain.Name_, lost(Old, New),
                        atStake(Each, Next, Domain.Name_)};
      if (Change.Moved_ > 0 || Change.FlowsAtStake_ > 0)
        Out.push_back(Change);
    }
  }
  return Out;
}

} // namespace medlarmoor::ctl::internal
