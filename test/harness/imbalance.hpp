#ifndef MEDLARMOOR_HARNESS_IMBALANCE_HPP
#define MEDLARMOOR_HARNESS_IMBALANCE_HPP

#include <cstdint>
#include <vector>

namespace medlarmoor::harness {

/// Collects samples of how unevenly work lies on upstreams: the greatest share
/// divided by the mean.
class Imbalance {
public:
  /// Counts of open flows on the upstreams of one service at one moment. Few
  /// flows say nothing and are left out.
  void add(const std::vector<std::uint64_t> &Open);
  /// Mean over the samples; 0 without any.
  [[nodiscard]] double mean() const noexcept;
  [[nodiscard]] double greatest() const noexcept { return Greatest_; }
  [[nodiscard]] std::uint64_t samples() const noexcept { return Samples_; }

private:
  double Sum_ = 0;
  double Greatest_ = 0;
  std::uint64_t Samples_ = 0;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_IMBALANCE_HPP
