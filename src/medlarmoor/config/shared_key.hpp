#ifndef MEDLARMOOR_CONFIG_SHARED_KEY_HPP
#define MEDLARMOOR_CONFIG_SHARED_KEY_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarmoor::config {

/// A key that all entries of an environment share to sign control messages.
struct SharedKey {
  std::uint8_t Id_ = 0;
  /// At least 16 bytes.
  std::vector<std::byte> Secret_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_SHARED_KEY_HPP
