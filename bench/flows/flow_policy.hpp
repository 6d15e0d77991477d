#ifndef MEDLARMOOR_BENCH_FLOWS_FLOW_POLICY_HPP
#define MEDLARMOOR_BENCH_FLOWS_FLOW_POLICY_HPP

namespace medlarmoor::bench {

/// How packets find their upstream.
enum class FlowPolicy : unsigned char {
  Medlarmoor,
  /// Hash modulo the upstreams that an entry knows; no records.
  Modulo,
  /// Consistent table and records at each entry by itself; no home.
  LocalTables,
  /// All packets go to the home, which keeps records, but nothing is handed
  /// over or replicated.
  AlwaysHome,
  /// Like Medlarmoor, but packets of table slots that the home said were
  /// settled a second ago go straight to the default.
  SettledFastPath,
};

[[nodiscard]] constexpr const char *name(FlowPolicy Policy) noexcept {
  constexpr const char *Names[] = {"medlarmoor", "modulo", "local_tables",
                                   "always_home", "settled_fast_path"};
  return Names[static_cast<unsigned char>(Policy)];
}

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_FLOWS_FLOW_POLICY_HPP
