#ifndef MEDLARMOOR_CORE_HASH_HPP
#define MEDLARMOOR_CORE_HASH_HPP

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace medlarmoor {

/// Hash of the bytes, equal in every process for equal input and seed.
[[nodiscard]] inline std::uint64_t hashBytes(const void *Data, std::size_t Size,
                                             std::uint64_t Seed = 0) noexcept {
  return XXH3_64bits_withSeed(Data, Size, Seed);
}

/// Hash of the text, equal in every process for equal input and seed.
[[nodiscard]] inline std::uint64_t hashText(std::string_view Text,
                                            std::uint64_t Seed = 0) noexcept {
  return hashBytes(Text.data(), Text.size(), Seed);
}

/// Mixes two hashes into one; the order matters.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t A,
                                          std::uint64_t B) noexcept {
  std::uint64_t X = A ^ (B * 0x9E3779B97F4A7C15ULL);
  X = (X ^ (X >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  X = (X ^ (X >> 27U)) * 0x94D049BB133111EBULL;
  return X ^ (X >> 31U);
}

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_HASH_HPP
