#ifndef MEDLARMOOR_REQUEST_KEY_PARTS_HPP
#define MEDLARMOOR_REQUEST_KEY_PARTS_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::request {

/// The failure domain and minting time that an idempotency key encodes.
struct KeyParts {
  DomainName Domain_;
  WallTime Minted_;

  friend bool operator==(const KeyParts &, const KeyParts &) = default;
};

/// Parses "{failure domain}-{unix milliseconds}-{random}", or returns nothing
/// if Key has another form. The failure domain may contain dashes.
[[nodiscard]] std::optional<KeyParts> parseKey(const IdempotencyKey &Key);

/// Returns a new key of Domain, minted at Now.
[[nodiscard]] IdempotencyKey mintKey(const DomainName &Domain, WallTime Now,
                                     Random &Generator);

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_KEY_PARTS_HPP
