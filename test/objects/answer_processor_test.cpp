#include <harness/catalog_builder.hpp>

#include <medlarmoor/objects/answer_processor.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace medlarmoor;
using namespace medlarmoor::objects;
using medlarmoor::harness::at;
using medlarmoor::harness::revision;

namespace {

using Items = AnswerProcessor<int>::Items;

/// The collection holds the numbers that its codec reads from bodies such as
/// "12 more: 3 4", where 12 is the revision.
std::optional<Page<int>> readPage(const std::string &Body, std::string &) {
  Page<int> Parsed;
  std::istringstream Words(Body);
  std::string Word;
  Words >> Parsed.Revision_ >> Word;
  Parsed.More_ = Word == "more:";
  while (Words >> Word) {
    Parsed.Items_.push_back({Word, std::stoi(Word), {}});
    Parsed.LastName_ = Word;
  }
  return Parsed;
}

struct Collection {
  void answer(const std::string &Body, bool IsList, TimePoint Now,
              unsigned Status = 200) {
    net::HttpResponse Response;
    Response.Body_ = Body;
    Response.Status_ = Status;
    StoreCall Call = ListCall{};
    if (!IsList)
      Call = WatchCall{Answers_.follower().revision(), Millis(0)};
    Answers_.process(Call, std::move(Response), "", Now, Now);
  }

  telemetry::Registry Metrics_;
  telemetry::EventLog Log_{"answer-test", "ERROR"};
  StoreEpoch Epoch_{1};
  std::vector<int> Listed_;
  int Recoveries_ = 0;
  AnswerProcessor<int> Answers_{
      "numbers",
      {[](const std::string &After) { return "list " + After; },
       [](std::uint64_t Revision, Millis) {
         return "watch " + std::to_string(Revision);
       },
       readPage, [this](const net::HttpHeaders &) { return Epoch_; }},
      Follower({}, Random(1)),
      {[this](const Items &Received) {
         Listed_.clear();
         for (const auto &Item : Received)
           Listed_.push_back(*Item.Value_);
       },
       [](const Items &) {}, [] {}, [this] { ++Recoveries_; }},
      Metrics_,
      Log_};
};

} // namespace

// Guards against an object that is listed although it was removed, because a
// page of an abandoned list was kept.
TEST_CASE(
    "a page of a list that a peer's data replaced is not part of the next "
    "list") {
  Collection Numbers;
  Numbers.answer("10 more: 3 4", true, at(0));
  Numbers.Answers_.follower().adopt(revision(20), revision(18), at(5));
  Numbers.answer("10 more: 5 6", true, at(10));
  Numbers.Answers_.follower().recordHistoryLoss(
      Numbers.Answers_.follower().revision(), at(20));
  Numbers.answer("30 all: 6 7", true, at(30));
  CHECK(Numbers.Listed_ == std::vector{6, 7});
}

// Guards against objects that are taken for gone because they were created
// after the copy, when the store was away for so short a time that no call
// failed.
TEST_CASE(
    "restored store: the first answer of a new epoch counts as a recovery "
    "from an outage") {
  Collection Numbers;
  Numbers.answer("10 all: 3 4", true, at(0));
  CHECK(Numbers.Recoveries_ == 0);
  Numbers.Epoch_ = StoreEpoch(2);
  Numbers.answer("", false, at(100), 410);
  CHECK(Numbers.Recoveries_ == 1);
  Numbers.answer("8 all: 3", true, at(110));
  CHECK(Numbers.Recoveries_ == 1);
  CHECK(Numbers.Listed_ == std::vector{3});
  // A peer has told of the next epoch.
  Numbers.Answers_.follower().adopt(harness::revision(5, 3),
                                    harness::revision(5, 3), at(200));
  Numbers.Epoch_ = StoreEpoch(3);
  Numbers.answer("6 all:", false, at(210));
  CHECK(Numbers.Recoveries_ == 1);
}
