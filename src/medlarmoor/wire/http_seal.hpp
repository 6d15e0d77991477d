#ifndef MEDLARMOOR_WIRE_HTTP_SEAL_HPP
#define MEDLARMOOR_WIRE_HTTP_SEAL_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/key_ring.hpp>
#include <medlarmoor/wire/replay_guard.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::wire {

/// The header that carries the signature of an inner HTTP message.
inline constexpr const char *SealHeader = "Medlarmoor-Seal";

/// Signs the HTTP messages that one thread of an entry sends to others and
/// checks theirs. The header value is "1;KEY;NAME;INCARNATION;SEQUENCE;SECONDS;
/// MAC", where the MAC covers the fields before it, the method, the target and
/// the body. For one thread; each server has its own guard against replay, so
/// one object both signs and checks for one port.
class HttpSeal {
public:
  HttpSeal(EntryName Self, Incarnation Run, KeyRing Keys, Clock Time);

  /// The header value for a request, or for a response when Method is the
  /// status text and Target that of the request. Empty without a key.
  [[nodiscard]] std::string
  sign(std::string_view Method, std::string_view Target, std::string_view Body);
  /// The sender of a message with the header value Header; nothing with
  /// lastReason() when it is unsigned, altered, replayed or stale.
  [[nodiscard]] std::optional<EntryName> verify(std::string_view Header,
                                                std::string_view Method,
                                                std::string_view Target,
                                                std::string_view Body);
  /// One word for metrics: malformed, signature, clock, incarnation or replay.
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  std::nullopt_t refuse(std::string Reason);

  EntryName Self_;
  Incarnation Run_;
  KeyRing Keys_;
  Clock Time_;
  ReplayGuard Guard_;
  std::uint64_t Sequence_ = 0;
  std::string Reason_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_HTTP_SEAL_HPP
