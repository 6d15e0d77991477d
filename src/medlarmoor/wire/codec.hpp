#ifndef MEDLARMOOR_WIRE_CODEC_HPP
#define MEDLARMOOR_WIRE_CODEC_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/message.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace medlarmoor::wire {

/// A message with the fields that the seal protects beside it.
struct Envelope {
  EntryName From_;
  Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  /// When it was sent, in seconds since the epoch.
  std::uint64_t SentSeconds_ = 0;
  Message Message_;

  friend bool operator==(const Envelope &, const Envelope &) = default;
};

/// Appends Envelope as a compact CBOR array to Out.
void encode(const Envelope &Envelope, std::vector<std::byte> &Out);

/// Reads what encode() wrote. Anything else, also trailing bytes, a missing or
/// a surplus field, gives nothing and sets Reason.
[[nodiscard]] std::optional<Envelope> decode(std::span<const std::byte> Bytes,
                                             std::string &Reason);

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_CODEC_HPP
