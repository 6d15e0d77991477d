#include <harness/imbalance.hpp>

#include <algorithm>
#include <numeric>

namespace medlarmoor::harness {

namespace {

/// Flows an upstream must hold on average for a sample to count.
constexpr std::uint64_t FewFlows = 5;

} // namespace

void Imbalance::add(const std::vector<std::uint64_t> &Open) {
  const std::uint64_t Sum =
      std::accumulate(Open.begin(), Open.end(), std::uint64_t{0});
  if (Open.empty() || Sum < FewFlows * Open.size())
    return;
  const double Mean =
      static_cast<double>(Sum) / static_cast<double>(Open.size());
  const double Share =
      static_cast<double>(*std::max_element(Open.begin(), Open.end())) / Mean;
  Sum_ += Share;
  Greatest_ = std::max(Greatest_, Share);
  ++Samples_;
}

double Imbalance::mean() const noexcept {
  return Samples_ == 0 ? 0 : Sum_ / static_cast<double>(Samples_);
}

} // namespace medlarmoor::harness
