#ifndef MEDLARMOOR_HARNESS_JUDGE_HPP
#define MEDLARMOOR_HARNESS_JUDGE_HPP

#include <harness/verdict.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// Moments, in nanoseconds of the machine's steady clock, at which upstreams
/// began to run a key, and whether its class is `once`.
struct KeyRuns {
  std::vector<std::int64_t> Starts_;
  std::vector<std::string> Upstreams_;
  bool Once_ = false;
};
using RunsByKey = std::map<std::string, KeyRuns>;

/// Adds the answer of an upstream's `GET /runs`.
void addRuns(const nlohmann::json &Answer, RunsByKey &Into);

/// Judges what a caller was told (its `GET /keys`) by what ran. A refusal is
/// false when the key had begun to run before the refusal arrived, or when it
/// ran at all and the caller never called again.
void judgeKeys(const nlohmann::json &Keys, const RunsByKey &Runs,
               Verdict &Into);

/// Counts the keys of class `once` that ran more than once.
void judgeRuns(const RunsByKey &Runs, Verdict &Into);

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_JUDGE_HPP
