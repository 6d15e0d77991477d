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

/// The header that carries the signature of an HTTP message between entries.
inline constexpr const char *SealHeader = "Medlarmoor-Seal";

/// Signs the HTTP messages that one thread of an entry sends to other entries
/// and verifies those that it receives. The header value is
/// "1;KEY;NAME;INCARNATION;SEQUENCE;SECONDS;MAC", where the MAC covers the
/// fields before it, the method, the target and the body. Not thread-safe. Each
/// server has its own replay guard, so one object both signs and verifies for
/// one port.
class HttpSeal {
public:
  HttpSeal(EntryName Self, Incarnation Run, KeyRing Keys, Clock Time);

  /// Returns the header value for a request, or for a response if Method is the
  /// status text and Target is that of the request. Returns an empty string if
  /// no key is configured.
  [[nodiscard]] std::string
  sign(std::string_view Method, std::string_view Target, std::string_view Body);
  /// Returns the sender of a message with the header value Header. Returns
  /// nothing and sets lastReason() if the message is unsigned, altered,
  /// replayed or stale.
  [[nodiscard]] std::optional<EntryName> verify(std::string_view Header,
                                                std::string_view Method,
                                                std::string_view Target,
                                                std::string_view Body);
  /// Returns why verify() last failed, as a metrics label: malformed,
  /// signature, clock, incarnation or replay.
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
