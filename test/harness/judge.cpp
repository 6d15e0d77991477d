#include <harness/judge.hpp>

#include <algorithm>

namespace medlarmoor::harness {

using nlohmann::json;

namespace {

const KeyRuns NoRuns;

std::string historyOf(const json &Key, const KeyRuns &Runs) {
  std::string Out = Key["key"].get<std::string>() + ":";
  for (const json &Call : Key["calls"])
    Out += " [" + Call["outcome"].get<std::string>() + " sent " +
           std::to_string(Call["sentNs"].get<std::int64_t>()) + " ended " +
           std::to_string(Call["endNs"].get<std::int64_t>()) + " " +
           Call["detail"].get<std::string>() + "]";
  for (std::size_t I = 0; I < Runs.Starts_.size(); ++I)
    Out +=
        " ran at " + Runs.Upstreams_[I] + " " + std::to_string(Runs.Starts_[I]);
  return Out;
}

bool isFalseRefusal(const json &Calls, const KeyRuns &Runs) {
  for (std::size_t I = 0; I < Calls.size(); ++I) {
    if (Calls[I]["outcome"] != "not_run")
      continue;
    const bool Last = I + 1 == Calls.size();
    const auto Told = Calls[I]["endNs"].get<std::int64_t>();
    for (const std::int64_t Start : Runs.Starts_)
      if (Last || Start < Told)
        return true;
  }
  return false;
}

void countCalls(const json &Key, Verdict &Into) {
  for (const json &Call : Key["calls"]) {
    const std::string Outcome = Call["outcome"];
    Into.CutCalls_ += Outcome == "unanswered" ? 1 : 0;
    Into.WrongOrPartialAnswers_ += Outcome == "wrong" ? 1 : 0;
    if (Outcome == "unanswered" || Outcome == "wrong")
      Into.Details_.push_back(Outcome + " " + historyOf(Key, NoRuns));
  }
}

void countOutcome(const std::string &Last, Verdict &Into) {
  Into.Done_ += Last == "done" ? 1 : 0;
  Into.DoneBefore_ += Last == "done_before" ? 1 : 0;
  Into.NotRun_ += Last == "not_run" ? 1 : 0;
  Into.Unknown_ += Last == "unknown" ? 1 : 0;
  Into.Unanswered_ += Last == "unanswered" || Last == "unconnected" ? 1 : 0;
}

void judgeKey(const json &Key, const KeyRuns &Runs, Verdict &Into) {
  const json &Calls = Key["calls"];
  ++Into.Requests_;
  countCalls(Key, Into);
  if (Calls.empty())
    return;
  const std::string Last = Calls.back()["outcome"];
  countOutcome(Last, Into);
  if (isFalseRefusal(Calls, Runs)) {
    ++Into.FalseNotRun_;
    Into.Details_.push_back("false not_run " + historyOf(Key, Runs));
  }
  const bool ToldDone = Last == "done" || Last == "done_before";
  if (ToldDone && Runs.Starts_.empty()) {
    ++Into.FalseDone_;
    Into.Details_.push_back("false done " + historyOf(Key, Runs));
  }
}

} // namespace

void addRuns(const json &Answer, RunsByKey &Into) {
  const std::string Upstream = Answer["upstream"];
  for (const json &Run : Answer["runs"]) {
    KeyRuns &Key = Into[Run["key"].get<std::string>()];
    Key.Starts_.push_back(Run["startNs"].get<std::int64_t>());
    Key.Upstreams_.push_back(Upstream);
    Key.Once_ = Run["once"].get<bool>();
  }
}

void judgeKeys(const json &Keys, const RunsByKey &Runs, Verdict &Into) {
  for (const json &Key : Keys) {
    const auto Found = Runs.find(Key["key"].get<std::string>());
    judgeKey(Key, Found == Runs.end() ? NoRuns : Found->second, Into);
  }
}

void judgeRuns(const RunsByKey &Runs, Verdict &Into) {
  for (const auto &[Key, Each] : Runs) {
    if (!Each.Once_ || Each.Starts_.size() < 2)
      continue;
    ++Into.DoubleRuns_;
    std::string Line = "double run " + Key + ":";
    for (std::size_t I = 0; I < Each.Starts_.size(); ++I)
      Line += " " + Each.Upstreams_[I] + " " + std::to_string(Each.Starts_[I]);
    Into.Details_.push_back(Line);
  }
}

} // namespace medlarmoor::harness
