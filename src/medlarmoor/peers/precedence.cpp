#include <medlarmoor/peers/precedence.hpp>

#include <medlarmoor/core/hash.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::peers {

std::uint64_t precedence(Endpoint Instance) noexcept {
  return mix(Instance.address().value(), Instance.port());
}

Millis takeoverDelay(Endpoint Instance, std::size_t Instances,
                     Millis MaxDelay) noexcept {
  constexpr double Range = 0x1p64;
  const double Position =
      (static_cast<double>(precedence(Instance)) + 1) / Range;
  const double Size = static_cast<double>(std::max<std::size_t>(Instances, 2));
  // The share x of the delays are below MaxDelay * (1 + log(x) / log(Size)).
  const double Share =
      std::clamp(1 + std::log(Position) / std::log(Size), 0.0, 1.0);
  return Millis(
      static_cast<Millis::rep>(Share * static_cast<double>(MaxDelay.count())));
}

} // namespace medlarmoor::peers
