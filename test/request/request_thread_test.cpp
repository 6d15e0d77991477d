#include <medlarmoor/net/http_server.hpp>
#include <request/fleet.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::test;

namespace {

/// Answers after Time, from a thread of its own.
FakeUpstream::Behave slow(Millis Time) {
  return [Time](const net::HttpRequest &Request, net::HttpReply Reply) {
    const std::string Attempt = *Request.Headers_.find("Medlarmoor-Attempt");
    std::thread([Time, Attempt, Reply] {
      std::this_thread::sleep_for(Time);
      net::HttpResponse Out{200, {}, "slow"};
      Out.Headers_.add("Medlarmoor-Attempt", Attempt);
      Reply(std::move(Out));
    }).detach();
  };
}

} // namespace

TEST_CASE("any entry brings a request to its dispatcher and its answer back") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream();
  All.start();
  for (std::size_t At = 0; At < 3; ++At) {
    const std::string Key = All.key();
    const net::HttpResponse Got = All.submit(At, Key);
    CHECK(Got.Status_ == 200);
    CHECK(Got.Body_ == "ran " + Key);
    CHECK(header(Got, "Medlarmoor-Outcome") == "done");
    CHECK(Upstream.runs(Key) == 1);
  }
}

TEST_CASE("a duplicate gets the outcome and does not run again") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream();
  All.start();
  const std::string Key = All.key();
  REQUIRE(All.submit(0, Key).Status_ == 200);
  for (std::size_t At = 0; At < 3; ++At) {
    const net::HttpResponse Again = All.submit(At, Key);
    CHECK(Again.Body_ == "ran " + Key);
    CHECK(header(Again, "Medlarmoor-Outcome") == "done");
  }
  CHECK(Upstream.runs(Key) == 1);
}

TEST_CASE("bad input is reported whole and never dispatched") {
  Fleet All(1);
  FakeUpstream &Upstream = All.addUpstream();
  All.start();
  net::HttpRequest Request{"POST", "/v1/services/seal/requests", {}, "{}"};
  Request.Headers_.add("Medlarmoor-Class", "once");
  Request.Headers_.add("Medlarmoor-Deadline-Ms", "0");
  const net::HttpResponse Got = All.send(0, Request);
  CHECK(Got.Status_ == 400);
  CHECK(header(Got, "Medlarmoor-Outcome") == "not_run");
  CHECK(Got.Body_ ==
        R"({"outcome":"not_run","findings":[{"at":"Idempotency-Key",)"
        R"("message":"missing","hint":"a request of class 'once' needs a )"
        R"(key"},{"at":"Medlarmoor-Deadline-Ms","message":"expired",)"
        R"("hint":""}]})"
        "\n");
  CHECK(All.submit(0, "seeb-x-1").Status_ == 400);
  CHECK(All.submit(0, "nowhere-1-1").Status_ == 400);
  CHECK(All.submit(0, All.key(), "twice").Status_ == 400);
  CHECK(All.submit(0, All.key(), "once", 31'000).Status_ == 400);
  CHECK(All.submit(0, All.key(), "once", 100, std::string(1024 * 1024 + 1, 'x'))
            .Status_ == 413);
  Request.Target_ = "/v1/services/none/requests";
  CHECK(All.send(0, Request).Status_ == 404);
  CHECK(Upstream.mostAtOnce() == 0);
}

TEST_CASE("slots are never exceeded and what waits too long was not run") {
  Fleet All(2);
  FakeUpstream &Upstream = All.addUpstream(slow(Millis(400)));
  All.start();
  std::vector<std::string> Keys;
  std::vector<net::HttpResponse> Got(6);
  std::vector<std::thread> Callers;
  for (std::size_t I = 0; I < Got.size(); ++I)
    Keys.push_back(All.key());
  for (std::size_t I = 0; I < Got.size(); ++I)
    Callers.emplace_back(
        [&, I] { Got[I] = All.submit(I % 2, Keys[I], "once", 700); });
  for (std::thread &Each : Callers)
    Each.join();
  CHECK(Upstream.mostAtOnce() == 2);
  int Done = 0;
  for (std::size_t I = 0; I < Got.size(); ++I) {
    const bool Ran = Upstream.runs(Keys[I]) == 1;
    Done += Got[I].Status_ == 200 ? 1 : 0;
    CHECK(Ran == (header(Got[I], "Medlarmoor-Outcome") != "not_run"));
  }
  CHECK(Done >= 2);
}
