#ifndef MEDLARMOOR_WIRE_KEY_RING_HPP
#define MEDLARMOOR_WIRE_KEY_RING_HPP

#include <medlarmoor/config/shared_key.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::wire {

/// Bytes of HMAC-SHA-256 that are kept.
inline constexpr std::size_t MacBytes = 16;
using Mac = std::array<std::byte, MacBytes>;

/// The keys that all entries of an environment share. The first one signs, all
/// of them are accepted, so that a key is rotated in two steps: added behind
/// the old one everywhere, then put before it.
class KeyRing {
public:
  explicit KeyRing(std::vector<config::SharedKey> Keys);

  /// The id of the key that signs; nothing without keys.
  [[nodiscard]] std::optional<std::uint8_t> signingId() const noexcept;
  /// The MAC of Bytes under the key Id; nothing for an unknown id.
  [[nodiscard]] std::optional<Mac> mac(std::uint8_t Id,
                                       std::span<const std::byte> Bytes) const;
  /// Whether Claimed is the MAC of Bytes under the key Id. Takes the same time
  /// for every wrong MAC.
  [[nodiscard]] bool verify(std::uint8_t Id, std::span<const std::byte> Bytes,
                            std::span<const std::byte> Claimed) const;

private:
  std::vector<config::SharedKey> Keys_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_KEY_RING_HPP
