#ifndef MEDLARMOOR_FLOW_FLOW_RECORD_HPP
#define MEDLARMOOR_FLOW_FLOW_RECORD_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/flow/rule.hpp>

#include <cstdint>

namespace medlarmoor::flow {

/// Seconds of the steady clock, modulo 2^16.
using Stamp = std::uint16_t;

/// Returns the stamp of a point in time.
[[nodiscard]] constexpr Stamp toStamp(TimePoint When) noexcept {
  return static_cast<Stamp>(
      std::chrono::duration_cast<Seconds>(When.time_since_epoch()).count());
}

/// Returns the seconds from Earlier to Later, which must be less than nine
/// hours apart.
[[nodiscard]] constexpr Stamp secondsBetween(Stamp Earlier,
                                             Stamp Later) noexcept {
  return static_cast<Stamp>(Later - Earlier);
}

/// The state of one flow as one entry knows it.
struct FlowRecord {
  /// FlowId::key() with the Used bit; 0 in an empty slot.
  std::uint64_t Key_ = 0;
  /// Low 32 bits of the configuration version under which the upstream was
  /// chosen.
  std::uint32_t ConfigVersion_ = 0;
  /// Low 16 bits of the id of the view under which the upstream was chosen.
  std::uint16_t View_ = 0;
  /// Low 16 bits of the hash of the name of the entry that holds the replica.
  std::uint16_t ReplicatedTo_ = 0;
  UpstreamIndex Upstream_ = 0;
  /// When the last packet of the flow arrived.
  Stamp LastPacketAt_ = 0;
  /// When the record was last replicated; valid if Replicated is set.
  Stamp ReplicatedAt_ = 0;
  std::uint8_t Flags_ = 0;
  Rule Rule_ = Rule::Default;

  /// The caller has answered the upstream.
  static constexpr std::uint8_t Established = 1U << 0U;
  /// A FIN was seen; the flow no longer counts as open.
  static constexpr std::uint8_t Closing = 1U << 1U;
  /// Held for another home; the flow does not count as open here.
  static constexpr std::uint8_t Replica = 1U << 2U;
  /// Sent to the successor, which is the entry that becomes home next.
  static constexpr std::uint8_t Replicated = 1U << 3U;
  /// Waiting to be sent to the successor.
  static constexpr std::uint8_t Queued = 1U << 4U;
  /// Replicated although on its default upstream, to replace an older replica.
  static constexpr std::uint8_t ReplacesReplica = 1U << 5U;
  /// The first packet was retransmitted.
  static constexpr std::uint8_t Retransmitted = 1U << 6U;

  [[nodiscard]] bool has(std::uint8_t Flag) const noexcept {
    return (Flags_ & Flag) != 0;
  }
  void set(std::uint8_t Flag) noexcept { Flags_ |= Flag; }
  void clear(std::uint8_t Flag) noexcept {
    Flags_ &= static_cast<std::uint8_t>(~Flag);
  }
  /// Returns true if the flow is held by its home and is not closing.
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
