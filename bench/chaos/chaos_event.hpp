#ifndef MEDLARMOOR_BENCH_CHAOS_CHAOS_EVENT_HPP
#define MEDLARMOOR_BENCH_CHAOS_CHAOS_EVENT_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace medlarmoor::bench::chaos {

/// A number drawn by seed that picks one of what is there when the event
/// begins: entry number Pick modulo the count, and so on.
using Pick = std::uint32_t;

/// An entry is killed. Its lists forget it late, and another takes its place,
/// under the same name and address or a new one.
struct KillEntry {
  Pick Entry_;
  bool SameName_;
};
/// An entry stands still, longer than its lease, and wakes.
struct PauseEntry {
  Pick Entry_;
};
/// Two entries do not reach each other, or only one of them does.
struct CutEntries {
  Pick From_;
  Pick To_;
  bool OneWay_;
};
/// An entry reaches no other entry and not the platform, but callers and
/// upstreams.
struct IsolateEntry {
  Pick Entry_;
};
/// An entry does not reach the platform.
struct CutPlatform {
  Pick Entry_;
};
/// Everything to and from an entry takes longer.
struct DelayEntry {
  Pick Entry_;
  Millis Delay_;
};
/// Control messages between entries get lost.
struct LoseControl {
  double Share_;
};
/// All open connections to and from an entry go silent for good.
struct SilenceEntry {
  Pick Entry_;
};
/// The platform fails in the way that the JSON text switches on.
struct PlatformFault {
  std::string On_;
  std::string Off_;
};
/// An upstream fails in the way that the JSON text switches on.
struct UpstreamFault {
  Pick Upstream_;
  std::string On_;
  std::string Off_;
};
/// An entry does not reach an upstream.
struct CutUpstream {
  Pick Entry_;
  Pick Upstream_;
};
/// An upstream drains and comes back.
struct DrainUpstream {
  Pick Upstream_;
};
/// The weight of an upstream changes.
struct ChangeWeight {
  Pick Upstream_;
  double Weight_;
};
/// Several operators apply different documents at once, each over the version
/// that all of them saw.
struct RaceOperators {
  std::uint32_t Operators_;
};
/// A new entry joins and another one leaves in order.
struct ReplaceEntry {
  Pick Entry_;
};

using Event =
    std::variant<KillEntry, PauseEntry, CutEntries, IsolateEntry, CutPlatform,
                 DelayEntry, LoseControl, SilenceEntry, PlatformFault,
                 UpstreamFault, CutUpstream, DrainUpstream, ChangeWeight,
                 RaceOperators, ReplaceEntry>;

} // namespace medlarmoor::bench::chaos

#endif // MEDLARMOOR_BENCH_CHAOS_CHAOS_EVENT_HPP
