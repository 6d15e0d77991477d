#ifndef MEDLARMOOR_BENCH_CONFIG_CONFIG_CASES_HPP
#define MEDLARMOOR_BENCH_CONFIG_CONFIG_CASES_HPP

#include <bench/record.hpp>

#include <cstdint>

namespace medlarmoor::bench {

/// How long an accepted document may take to be in force, in milliseconds.
inline constexpr double InForceBoundMs = 4000;
/// Control bytes a second of one daemon.
inline constexpr double ControlBound = 12'000;

/// Each starts a system of its own, runs one case and fills the record.
void runInForce(std::size_t Domains, std::size_t Count, Record &Out);
void runSlowPlatform(Record &Out);
void runPlatformDown(Record &Out);
void runSilentWatch(Record &Out);
void runOldAnswers(Record &Out);
void runPartition(Record &Out);
void runLostWatchers(Record &Out);
void runPausedWatcher(Record &Out);
void runNewEntry(Record &Out);
void runRace(std::uint32_t LoseAnswerEvery, Record &Out);
/// Counts the platform's calls at several sizes, with and without changes.
void runCalls(Record &Out);
/// Control bytes at the change rate of the target.
void runControlBytes(Record &Out);

/// Changes of a document of the target's size: 3,200 services with 39,000
/// upstreams.
void runTargetDocument(Record &Out);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_CONFIG_CONFIG_CASES_HPP
