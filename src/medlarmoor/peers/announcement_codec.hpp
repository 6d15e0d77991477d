#ifndef MEDLARMOOR_PEERS_ANNOUNCEMENT_CODEC_HPP
#define MEDLARMOOR_PEERS_ANNOUNCEMENT_CODEC_HPP

#include <medlarmoor/peers/announcement.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::peers {

/// The datagram of an announcement, in CBOR.
[[nodiscard]] std::vector<std::byte> encode(const Announcement &Each);

/// Reads a datagram; nothing when it is no announcement.
[[nodiscard]] std::optional<Announcement>
decode(std::span<const std::byte> Bytes);

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ANNOUNCEMENT_CODEC_HPP
