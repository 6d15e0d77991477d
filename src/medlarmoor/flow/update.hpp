#ifndef MEDLARMOOR_FLOW_UPDATE_HPP
#define MEDLARMOOR_FLOW_UPDATE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::flow {

/// A flow by names that all entries understand.
struct WireFlow {
  std::uint32_t Service_ = 0;
  std::uint64_t Hash_ = 0;

  friend auto operator<=>(const WireFlow &, const WireFlow &) = default;
};

/// A flow that does not go where the tables would send it.
struct WireException {
  WireFlow Flow_;
  std::uint16_t Upstream_ = 0;

  friend auto operator<=>(const WireException &,
                          const WireException &) = default;
};

/// How many flows the sender holds open to an upstream.
struct WireCount {
  std::uint32_t Service_ = 0;
  std::uint16_t Upstream_ = 0;
  std::uint32_t Open_ = 0;

  friend auto operator<=>(const WireCount &, const WireCount &) = default;
};

/// A place in the acknowledged stream of updates from one entry to another.
struct StreamPlace {
  /// Drawn anew when the sender starts over.
  std::uint32_t Epoch_ = 0;
  std::uint32_t Sequence_ = 0;

  friend bool operator==(const StreamPlace &, const StreamPlace &) = default;
};

/// The sender has handed over what the receiver is home of.
struct Grant {
  /// The view that both see.
  ViewId View_;
  /// The sender had no flows of its own yet.
  bool Joining_ = false;

  friend bool operator==(const Grant &, const Grant &) = default;
};

/// The sender has handed over to others and leaves.
struct Leave {
  /// The view that it saw.
  ViewId View_;
  /// The receiver is among those that it handed over to.
  bool ToReceiver_ = false;

  friend bool operator==(const Leave &, const Leave &) = default;
};

/// What one entry's flow door tells another's. Sent in CBOR; flows are packed
/// into byte strings: a service (4 bytes), a count, then for each flow 5 bytes
/// of hash and, in exceptions, 2 bytes of upstream.
struct Update {
  /// Set when the receiver must acknowledge; those arrive in order.
  std::optional<StreamPlace> Place_;
  /// The next sequence number that the sender expects from the receiver.
  std::optional<StreamPlace> Acknowledged_;
  /// Exceptions to keep for their home, or as their new home.
  std::vector<WireException> Exceptions_;
  /// How often the exceptions were relayed to a further home.
  std::uint8_t Relays_ = 0;
  /// Exceptions whose flows have ended.
  std::vector<WireFlow> Ended_;
  std::vector<WireCount> Counts_;
  /// The sender asks to be handed what it is home of under this view.
  std::optional<ViewId> Claim_;
  std::optional<Grant> Grant_;
  /// The sender leaves and has handed over all it had.
  std::optional<Leave> Left_;

  friend bool operator==(const Update &, const Update &) = default;

  [[nodiscard]] std::vector<std::byte> encode() const;
  /// Nothing when the bytes are no update.
  [[nodiscard]] static std::optional<Update>
  decode(std::span<const std::byte> Bytes);
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_UPDATE_HPP
