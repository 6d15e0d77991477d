#ifndef MEDLARMOOR_FLOW_FLOW_RECORD_HPP
#define MEDLARMOOR_FLOW_FLOW_RECORD_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/flow/rule.hpp>

#include <cstdint>

namespace medlarmoor::flow {

/// Seconds of the steady clock, modulo 2^16.
using Stamp = std::uint16_t;

/// The stamp of a moment.
[[nodiscard]] constexpr Stamp toStamp(TimePoint When) noexcept {
  return static_cast<Stamp>(
      std::chrono::duration_cast<Seconds>(When.time_since_epoch()).count());
}

/// Seconds from Earlier to Later; both lie within nine hours.
[[nodiscard]] constexpr Stamp secondsBetween(Stamp Earlier,
                                             Stamp Later) noexcept {
  return static_cast<Stamp>(Later - Earlier);
}

/// What an entry knows of one flow.
struct FlowRecord {
  /// FlowId::key() with the Used bit; 0 in an empty slot.
  std::uint64_t Key_ = 0;
  /// Low half of the configuration version under which it was chosen.
  std::uint32_t ConfigVersion_ = 0;
  /// Low bits of the view id under which it was chosen.
  std::uint16_t View_ = 0;
  /// Low bits of the hash of the entry's name that it was replicated to.
  std::uint16_t ReplicatedTo_ = 0;
  UpstreamIndex Upstream_ = 0;
  /// When its last packet was seen.
  Stamp LastPacketAt_ = 0;
  /// When it was last replicated, if Copied.
  Stamp ReplicatedAt_ = 0;
  std::uint8_t Flags_ = 0;
  Rule Rule_ = Rule::Default;

  /// The caller has answered the upstream: the flow is established.
  static constexpr std::uint8_t Established = 1U << 0U;
  /// A FIN was seen; it no longer counts as open.
  static constexpr std::uint8_t Closing = 1U << 1U;
  /// Held for another home; it does not count as open.
  static constexpr std::uint8_t Replica = 1U << 2U;
  /// Sent to the next home in line.
  static constexpr std::uint8_t Replicated = 1U << 3U;
  /// Waits to be sent to the next home in line.
  static constexpr std::uint8_t Queued = 1U << 4U;
  /// Replicated although on its default, to replace an older copy.
  static constexpr std::uint8_t ReplacesReplica = 1U << 5U;
  /// Its first packet was repeated.
  static constexpr std::uint8_t Retransmitted = 1U << 6U;

  [[nodiscard]] bool has(std::uint8_t Flag) const noexcept {
    return (Flags_ & Flag) != 0;
  }
  void set(std::uint8_t Flag) noexcept { Flags_ |= Flag; }
  void clear(std::uint8_t Flag) noexcept {
    Flags_ &= static_cast<std::uint8_t>(~Flag);
  }
  /// Held by its home and not closing.
  [[nodiscard]] bool open() const noexcept {
    return (Flags_ & (Closing | Replica)) == 0;
  }
  [[nodiscard]] FlowId id() const noexcept {
    return FlowId::fromKey(Key_ & ((1ULL << 56U) - 1));
  }
};
static_assert(sizeof(FlowRecord) <= 32);

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_RECORD_HPP
