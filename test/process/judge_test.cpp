#include <harness/judge.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

json call(const char *Outcome, int Sent, int Ended) {
  return {
      {"outcome", Outcome}, {"sentNs", Sent}, {"endNs", Ended}, {"detail", ""}};
}

json key(const char *Name, std::vector<json> Calls) {
  return {{"key", Name}, {"once", true}, {"calls", std::move(Calls)}};
}

/// One upstream that ran each key at the moments given.
RunsByKey runs(const std::vector<std::pair<const char *, int>> &All) {
  json Answer{{"upstream", "u"}, {"runs", json::array()}};
  for (const auto &[Name, Start] : All)
    Answer["runs"].push_back(
        {{"key", Name}, {"startNs", Start}, {"once", true}});
  RunsByKey Out;
  addRuns(Answer, Out);
  return Out;
}

} // namespace

TEST_CASE("a refusal is false when the key ran before it or without a call",
          "[judge_test]") {
  const json Keys{
      key("refused", {call("not_run", 1, 5)}),
      key("ran-later", {call("not_run", 1, 5)}),
      key("ran-before", {call("not_run", 1, 5), call("done", 6, 9)}),
      key("ran-by-second-call", {call("not_run", 1, 5), call("done", 6, 9)}),
      key("invented", {call("done", 1, 5)})};
  Verdict Out;
  judgeKeys(
      Keys,
      runs({{"ran-later", 8}, {"ran-before", 3}, {"ran-by-second-call", 7}}),
      Out);
  CHECK(Out.Requests_ == 5);
  CHECK(Out.FalseNotRun_ == 2);
  CHECK(Out.FalseDone_ == 1);
  CHECK(Out.NotRun_ == 2);
  CHECK(Out.Done_ == 3);
}

TEST_CASE("a key of class once that ran at two upstreams is a double run",
          "[judge_test]") {
  Verdict Out;
  judgeRuns(runs({{"twice", 1}, {"once", 1}, {"twice", 9}}), Out);
  CHECK(Out.DoubleRuns_ == 1);
}

TEST_CASE("calls without a whole answer of their own are counted",
          "[judge_test]") {
  Verdict Out;
  judgeKeys(
      json::array({key("a", {call("unanswered", 1, 2), call("wrong", 3, 4)})}),
      {}, Out);
  CHECK(Out.CutCalls_ == 1);
  CHECK(Out.WrongOrPartialAnswers_ == 1);
}
