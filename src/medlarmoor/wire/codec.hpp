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

/// A message with its sender and the fields that protect it against replay.
/// The signature of the datagram covers all of it.
struct Envelope {
  EntryName From_;
  Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  /// Time of sending in seconds since the Unix epoch.
  std::uint64_t SentSeconds_ = 0;
  Message Message_;

  friend bool operator==(const Envelope &, const Envelope &) = default;
};

/// Encodes Envelope as a compact CBOR array and appends it to Buffer.
void encode(const Envelope &Envelope, std::vector<std::byte> &Buffer);

/// Decodes the output of encode(). Returns nothing and sets Reason for any
/// other input, including trailing bytes and missing or surplus fields.
[[nodiscard]] std::optional<Envelope> decode(std::span<const std::byte> Bytes,
                                             std::string &Reason);

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_CODEC_HPP
