#include <medlarmoor/edge/held_packets.hpp>

#include <utility>

namespace medlarmoor::edge {

namespace {

/// Bounds the memory of held packets to a few megabytes.
constexpr std::size_t MaxHeldPackets = 2048;
/// Senders have repeated or given up older packets.
constexpr Millis MaxHoldTime{400};

} // namespace

bool HeldPackets::hold(std::span<const std::byte> Datagram, TimePoint Now) {
  while (!Packets_.empty() && Now - Packets_.front().ReceivedAt_ > MaxHoldTime)
    Packets_.pop_front();
  if (Packets_.size() >= MaxHeldPackets)
    return false;
  Packets_.push_back({Now, {Datagram.begin(), Datagram.end()}});
  return true;
}

std::vector<std::vector<std::byte>> HeldPackets::take(TimePoint Now) {
  std::vector<std::vector<std::byte>> Taken;
  for (Packet &Held : Packets_)
    if (Now - Held.ReceivedAt_ <= MaxHoldTime)
      Taken.push_back(std::move(Held.Datagram_));
  Packets_.clear();
  return Taken;
}

} // namespace medlarmoor::edge
