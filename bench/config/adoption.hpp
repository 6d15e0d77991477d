#ifndef MEDLARMOOR_BENCH_CONFIG_ADOPTION_HPP
#define MEDLARMOOR_BENCH_CONFIG_ADOPTION_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// One version that an entry put in force, as its log tells.
struct Adoption {
  WallTime At_;
  std::uint64_t Version_ = 0;
  std::uint64_t Digest_ = 0;
};

/// The adoptions that the log of an entry holds, in its order.
[[nodiscard]] std::vector<Adoption> readAdoptions(const std::string &LogFile);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_CONFIG_ADOPTION_HPP
