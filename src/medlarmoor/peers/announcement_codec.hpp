#ifndef MEDLARMOOR_PEERS_ANNOUNCEMENT_CODEC_HPP
#define MEDLARMOOR_PEERS_ANNOUNCEMENT_CODEC_HPP

#include <medlarmoor/peers/announcement.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::peers {

/// Returns the datagram of an announcement, in CBOR.
[[nodiscard]] std::vector<std::byte> encode(const Announcement &Message);

/// Decodes a datagram. Returns no value if it is not an announcement.
[[nodiscard]] std::optional<Announcement>
decode(std::span<const std::byte> Bytes);

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ANNOUNCEMENT_CODEC_HPP
