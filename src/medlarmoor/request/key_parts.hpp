#ifndef MEDLARMOOR_REQUEST_KEY_PARTS_HPP
#define MEDLARMOOR_REQUEST_KEY_PARTS_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::request {

/// What an idempotency key tells: where it belongs and when it was minted.
struct KeyParts {
  DomainName Domain_;
  WallTime Minted_;

  friend bool operator==(const KeyParts &, const KeyParts &) = default;
};

/// Reads "{failure domain}-{unix milliseconds}-{random}"; nothing for other
/// text. The failure domain itself may hold dashes.
[[nodiscard]] std::optional<KeyParts> parseKey(const IdempotencyKey &Key);

/// A new key of Domain, minted at Now.
[[nodiscard]] IdempotencyKey mintKey(const DomainName &Domain, WallTime Now,
                                     Random &Source);

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_KEY_PARTS_HPP
