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

/// Length to which an HMAC-SHA-256 is truncated.
inline constexpr std::size_t MacBytes = 16;
using Mac = std::array<std::byte, MacBytes>;

/// The keys that all entries of an environment share. The first key signs and
/// every key is accepted for verification. A key is therefore rotated in two
/// steps: append the new key on all entries, then move it to the front.
class KeyRing {
public:
  explicit KeyRing(std::vector<config::SharedKey> Keys);

  /// Returns the id of the signing key, or nothing if the ring is empty.
  [[nodiscard]] std::optional<std::uint8_t> signingId() const noexcept;
  /// Returns the MAC of Bytes under the key Id, or nothing if the id is
  /// unknown.
  [[nodiscard]] std::optional<Mac> mac(std::uint8_t Id,
                                       std::span<const std::byte> Bytes) const;
  /// Returns true if Claimed is the MAC of Bytes under the key Id. Compares in
  /// constant time.
  [[nodiscard]] bool verify(std::uint8_t Id, std::span<const std::byte> Bytes,
                            std::span<const std::byte> Claimed) const;

private:
  std::vector<config::SharedKey> Keys_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_KEY_RING_HPP
