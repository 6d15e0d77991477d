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

/// Signs the control messages of one entry and checks those of the others. A
/// datagram is a version byte, a key id, the CBOR envelope and 16 bytes of
/// HMAC-SHA-256 over all of it. For one thread.
class Sealer {
public:
  Sealer(EntryName Self, Incarnation Run, KeyRing Keys, Clock Time);

  /// The datagram that carries Each; empty without a key.
  [[nodiscard]] std::vector<std::byte> seal(const Message &Each);
  /// The verified message in Datagram; nothing with lastReason() when it is
  /// malformed, unsigned, replayed, stale, or comes from this entry itself.
  /// The signature is checked before anything is decoded.
  [[nodiscard]] std::optional<Incoming>
  open(std::span<const std::byte> Datagram);
  /// One word for metrics: short, version, signature, decode, own, clock,
  /// incarnation or replay.
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }
  /// The sender whose earlier run the last refused message names; empty for
  /// any other reason.
  [[nodiscard]] const EntryName &staleSender() const noexcept {
    return StaleSender_;
  }

  /// Signs as a new run from now on; the sequence starts again.
  void renew(Incarnation Run);
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
