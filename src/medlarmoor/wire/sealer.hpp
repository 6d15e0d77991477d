#ifndef MEDLARMOOR_WIRE_SEALER_HPP
#define MEDLARMOOR_WIRE_SEALER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/incoming.hpp>
#include <medlarmoor/wire/key_ring.hpp>
#include <medlarmoor/wire/replay_guard.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace medlarmoor::wire {

/// Signs the control messages of one entry and verifies those of other entries.
/// A datagram consists of a version byte, a key id, the CBOR envelope and 16
/// bytes of HMAC-SHA-256 over everything before them. Not thread-safe.
class Sealer {
public:
  Sealer(EntryName Self, Incarnation Run, KeyRing Keys, Clock Time);

  /// Returns the signed datagram that carries Payload, or an empty vector if no
  /// key is configured.
  [[nodiscard]] std::vector<std::byte> seal(const Message &Payload);
  /// Returns the verified message in Datagram. Returns nothing and sets
  /// lastReason() if the datagram is malformed, unsigned, replayed or stale, or
  /// was sent by this entry itself. Verifies the signature before it decodes
  /// anything.
  [[nodiscard]] std::optional<Incoming>
  open(std::span<const std::byte> Datagram);
  /// Returns why open() last failed, as a metrics label: short, version,
  /// signature, decode, own, clock, incarnation or replay.
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }
  /// Returns the sender of the last refused message if it was refused for an
  /// outdated incarnation, otherwise an empty name.
  [[nodiscard]] const EntryName &staleSender() const noexcept {
    return StaleSender_;
  }

  /// Signs all further messages with the incarnation Run and restarts the
  /// sequence numbers.
  void setIncarnation(Incarnation Run);
  [[nodiscard]] Incarnation incarnation() const noexcept { return Run_; }

private:
  std::nullopt_t refuse(std::string Reason);

  EntryName Self_;
  Incarnation Run_;
  KeyRing Keys_;
  Clock Time_;
  ReplayGuard Guard_;
  std::uint64_t Sequence_ = 0;
  std::string Reason_;
  EntryName StaleSender_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_SEALER_HPP
