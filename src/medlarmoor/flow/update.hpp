#ifndef MEDLARMOOR_FLOW_UPDATE_HPP
#define MEDLARMOOR_FLOW_UPDATE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::flow {

/// Identifies a flow in messages. All entries derive the same numbers.
struct WireFlow {
  /// Wire id of the service.
  std::uint32_t Service_ = 0;
  std::uint64_t Hash_ = 0;

  friend auto operator<=>(const WireFlow &, const WireFlow &) = default;
};

/// An override: a flow pinned to another upstream than the tables would choose.
struct WireOverride {
  WireFlow Flow_;
  /// Wire id of the upstream.
  std::uint16_t Upstream_ = 0;

  friend auto operator<=>(const WireOverride &, const WireOverride &) = default;
};

/// Number of flows that the sender holds open to an upstream.
struct WireCount {
  std::uint32_t Service_ = 0;
  std::uint16_t Upstream_ = 0;
  std::uint32_t Open_ = 0;

  friend auto operator<=>(const WireCount &, const WireCount &) = default;
};

/// A position in the acknowledged stream of updates from one entry to another.
struct StreamPosition {
  /// Random number that the sender draws again whenever it restarts the stream.
  std::uint32_t Epoch_ = 0;
  std::uint32_t Sequence_ = 0;

  friend bool operator==(const StreamPosition &,
                         const StreamPosition &) = default;
};

/// Reports that the sender has handed off the flows that the receiver is home
/// of.
struct Grant {
  /// The view that both entries have.
  ViewId View_;
  /// True if the sender had no flows of its own yet, because it is joining.
  bool SenderJoining_ = false;

  friend bool operator==(const Grant &, const Grant &) = default;
};

/// Reports that the sender has handed off its flows to others and leaves.
struct LeaveNotice {
  /// The sender's view.
  ViewId View_;
  /// True if the receiver is among the entries that the sender handed off to.
  bool ToReceiver_ = false;

  friend bool operator==(const LeaveNotice &, const LeaveNotice &) = default;
};

/// An update from the flow listener of one entry to that of another. Sent in
/// CBOR. Flows are packed into byte strings: a service (4 bytes) and a number
/// of flows (1 byte), then for each of these flows 5 bytes of hash and, for
/// overrides, 2 bytes of upstream. Counts are packed in the same way, with 2
/// bytes of upstream and 3 bytes of open flows each.
struct Update {
  /// Set if the receiver must acknowledge the update. Such updates are applied
  /// in order.
  std::optional<StreamPosition> Position_;
  /// The position that the sender expects next from the receiver.
  std::optional<StreamPosition> Acknowledged_;
  /// Overrides that the receiver keeps for their home or as their new home.
  std::vector<WireOverride> Overrides_;
  /// Number of times that the overrides were relayed to a further home.
  std::uint8_t Relays_ = 0;
  /// Flows with an override that have ended.
  std::vector<WireFlow> Ended_;
  std::vector<WireCount> Counts_;
  /// Set if the sender asks the receiver to hand off the flows that the sender
  /// is home of under this view.
  std::optional<ViewId> Claim_;
  std::optional<Grant> Grant_;
  /// Set if the sender leaves and has handed off everything.
  std::optional<LeaveNotice> Leave_;

  friend bool operator==(const Update &, const Update &) = default;

  [[nodiscard]] std::vector<std::byte> encode() const;
  /// Returns the update that Cbor encodes, or nothing if it encodes none.
  [[nodiscard]] static std::optional<Update>
  decode(std::span<const std::byte> Cbor);
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_UPDATE_HPP
