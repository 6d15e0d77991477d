#include <request/fleet.hpp>
#include <request/truncating_upstream.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::test;

TEST_CASE(
    "any entry forwards a request to its dispatcher and relays the answer") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream();
  Entries.start();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    const std::string Key = Entries.mintKey();
    const net::HttpResponse Response = Entries.submit(Entry, Key);
    CHECK(Response.Status_ == 200);
    CHECK(Response.Body_ == "ran " + Key);
    CHECK(header(Response, "Medlarmoor-Outcome") == "done");
    CHECK(Upstream.runs(Key) == 1);
  }
}

TEST_CASE("a duplicate receives the recorded answer and does not run again") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream();
  Entries.start();
  const std::string Key = Entries.mintKey();
  REQUIRE(Entries.submit(0, Key).Status_ == 200);
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    const net::HttpResponse Again = Entries.submit(Entry, Key);
    CHECK(Again.Body_ == "ran " + Key);
    CHECK(header(Again, "Medlarmoor-Outcome") == "done");
  }
  CHECK(Upstream.runs(Key) == 1);
}

TEST_CASE(
    "all findings about a bad request are reported and it is not dispatched") {
  Fleet Entries(1);
  FakeUpstream &Upstream = Entries.addUpstream();
  Entries.start();
  net::HttpRequest Request{"POST", "/v1/services/seal/requests", {}, "{}"};
  Request.Headers_.add("Medlarmoor-Class", "once");
  Request.Headers_.add("Medlarmoor-Deadline-Ms", "0");
  const net::HttpResponse Response = Entries.send(0, Request);
  CHECK(Response.Status_ == 400);
  CHECK(header(Response, "Medlarmoor-Outcome") == "not_run");
  CHECK(Response.Body_ ==
        R"({"outcome":"not_run","findings":[{"at":"Idempotency-Key",)"
        R"("message":"missing","hint":"a request of class 'once' needs a )"
        R"(key"},{"at":"Medlarmoor-Deadline-Ms","message":"expired",)"
        R"("hint":""}]})"
        "\n");
  CHECK(Entries.submit(0, "seeb-x-1").Status_ == 400);
  CHECK(Entries.submit(0, "nowhere-1-1").Status_ == 400);
  CHECK(Entries.submit(0, Entries.mintKey(), "twice").Status_ == 400);
  CHECK(Entries.submit(0, Entries.mintKey(), "once", 31'000).Status_ == 400);
  CHECK(Entries
            .submit(0, Entries.mintKey(), "once", 100,
                    std::string(1024 * 1024 + 1, 'x'))
            .Status_ == 413);
  Request.Target_ = "/v1/services/none/requests";
  CHECK(Entries.send(0, Request).Status_ == 404);
  CHECK(Upstream.maxConcurrent() == 0);
}

TEST_CASE("slots are never exceeded and a request that expires in the queue is "
          "not run") {
  Fleet Entries(2);
  FakeUpstream &Upstream = Entries.addUpstream(nullptr, 2, Millis(400));
  Entries.start();
  std::vector<std::string> Keys;
  std::vector<net::HttpResponse> Responses(6);
  std::vector<std::thread> Callers;
  for (std::size_t I = 0; I < Responses.size(); ++I)
    Keys.push_back(Entries.mintKey());
  for (std::size_t I = 0; I < Responses.size(); ++I)
    Callers.emplace_back(
        [&, I] { Responses[I] = Entries.submit(I % 2, Keys[I], "once", 700); });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Upstream.maxConcurrent() == 2);
  int Done = 0;
  for (std::size_t I = 0; I < Responses.size(); ++I) {
    const bool Ran = Upstream.runs(Keys[I]) == 1;
    Done += Responses[I].Status_ == 200 ? 1 : 0;
    CHECK(Ran == (header(Responses[I], "Medlarmoor-Outcome") != "not_run"));
  }
  CHECK(Done >= 2);
}

TEST_CASE("a duplicate waits for the running request") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream(nullptr, 2, Millis(400));
  Entries.start();
  const std::string Key = Entries.mintKey();
  net::HttpResponse First;
  std::thread Caller([&] { First = Entries.submit(0, Key); });
  REQUIRE(eventually([&] { return Upstream.runs(Key) == 1; }));
  const net::HttpResponse Second = Entries.submit(1, Key);
  Caller.join();
  CHECK(First.Body_ == "ran " + Key);
  CHECK(Second.Body_ == "ran " + Key);
  CHECK(Upstream.runs(Key) == 1);
}

TEST_CASE(
    "the successor of a crashed dispatcher knows which requests were sent") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream(nullptr, 2, Millis(300));
  Entries.start();
  const std::size_t Crashed = Entries.dispatcher();
  const std::size_t Successor = Entries.successor();
  const std::size_t Third = 3 - Crashed - Successor;
  const std::string Key = Entries.mintKey();
  net::HttpResponse Interrupted;
  std::thread Caller([&] { Interrupted = Entries.submit(Crashed, Key); });
  REQUIRE(eventually([&] { return Upstream.runs(Key) == 1; }));
  Entries.crash(Crashed);
  Caller.join();
  CHECK(Interrupted.Status_ == 0);
  Entries.setView(Successor, {Successor, Third});
  Entries.setView(Third, {Successor, Third});
  const net::HttpResponse Again = Entries.submit(Third, Key);
  CHECK(Again.Status_ == 504);
  CHECK(header(Again, "Medlarmoor-Outcome") == "unknown");
  CHECK(Again.Body_ ==
        "{\"outcome\":\"unknown\",\"reason\":\"running\",\"retry\":true}\n");
  REQUIRE(eventually(
      [&] { return Entries.submit(Third, Entries.mintKey()).Status_ == 200; }));
  CHECK(Upstream.runs(Key) == 1);
}

TEST_CASE("an entry without a majority answers unknown, never not_run") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream();
  Entries.start();
  Entries.setView(0, {0});
  const std::string Key = Entries.mintKey();
  net::HttpResponse Response;
  REQUIRE(eventually([&] {
    Response = Entries.submit(0, Key, "once", 500);
    return Response.Status_ == 504;
  }));
  CHECK(header(Response, "Medlarmoor-Outcome") == "unknown");
  CHECK(header(Entries.submit(0, "bawshar-1-1", "once", 500),
               "Medlarmoor-Outcome") == "unknown");
  CHECK(Upstream.runs(Key) == 0);
}

TEST_CASE("a planned stop hands off all requests and interrupts none") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream(nullptr, 2, Millis(250));
  Entries.start();
  const std::size_t Leaving = Entries.dispatcher();
  std::vector<std::string> Keys;
  std::vector<net::HttpResponse> Responses(6);
  std::vector<std::thread> Callers;
  for (std::size_t I = 0; I < Responses.size(); ++I)
    Keys.push_back(Entries.mintKey());
  for (std::size_t I = 0; I < Responses.size(); ++I)
    Callers.emplace_back(
        [&, I] { Responses[I] = Entries.submit(I % 3, Keys[I]); });
  REQUIRE(eventually([&] { return Upstream.maxConcurrent() == 2; }));
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Entries.setView(Entry, {0, 1, 2}, Leaving);
  Entries.entry(Leaving).leave();
  for (std::thread &Caller : Callers)
    Caller.join();
  REQUIRE(eventually([&] { return Entries.entry(Leaving).handoffComplete(); }));
  for (std::size_t I = 0; I < Responses.size(); ++I) {
    CHECK(Responses[I].Status_ == 200);
    CHECK(Upstream.runs(Keys[I]) == 1);
  }
  const net::HttpResponse Again = Entries.submit(Entries.successor(), Keys[0]);
  CHECK(header(Again, "Medlarmoor-Outcome") == "done");
}

TEST_CASE(
    "a request cancelled in the queue is not run, also when submitted again") {
  Fleet Entries(2);
  FakeUpstream &Upstream = Entries.addUpstream(nullptr, 1, Millis(500));
  Entries.start();
  const std::string Running = Entries.mintKey();
  const std::string Waiting = Entries.mintKey();
  net::HttpResponse First;
  net::HttpResponse Second;
  std::thread RunningCaller([&] { First = Entries.submit(0, Running); });
  REQUIRE(eventually([&] { return Upstream.runs(Running) == 1; }));
  std::thread WaitingCaller([&] { Second = Entries.submit(1, Waiting); });
  net::HttpRequest Cancel{
      "DELETE", "/v1/services/seal/requests/" + Waiting, {}, ""};
  REQUIRE(eventually([&] {
    const net::HttpRequest LookUp{"GET", Cancel.Target_, {}, ""};
    return Entries.send(0, LookUp).Body_.find("waiting") != std::string::npos;
  }));
  const net::HttpResponse Cancelled = Entries.send(0, Cancel);
  RunningCaller.join();
  WaitingCaller.join();
  CHECK(First.Status_ == 200);
  CHECK(header(Cancelled, "Medlarmoor-Outcome") == "not_run");
  CHECK(header(Second, "Medlarmoor-Outcome") == "not_run");
  CHECK(header(Entries.submit(0, Waiting), "Medlarmoor-Outcome") == "not_run");
  CHECK(Upstream.runs(Waiting) == 0);
}

TEST_CASE("a shed request is retried elsewhere, another attempt's answer is "
          "discarded") {
  Fleet Entries(1);
  Entries.addUpstream(
      [](const net::HttpRequest &Request, const net::HttpReply &Reply) {
        net::HttpResponse Response{503, {}, ""};
        Response.Headers_.add("Medlarmoor-Attempt",
                              *Request.Headers_.find("Medlarmoor-Attempt"));
        Response.Headers_.add("Medlarmoor-Not-Run", "1");
        Reply(std::move(Response));
      });
  Entries.addUpstream();
  Entries.start();
  for (int I = 0; I < 20; ++I)
    CHECK(Entries.submit(0, Entries.mintKey()).Status_ == 200);

  Fleet Mismatching(1);
  Mismatching.addUpstream(
      [](const net::HttpRequest &, const net::HttpReply &Reply) {
        net::HttpResponse Response{200, {}, "answer to another attempt"};
        Response.Headers_.add("Medlarmoor-Attempt", "another.1.seal.1");
        Reply(std::move(Response));
      });
  Mismatching.start();
  for (const char *Class : {"once", "idempotent"}) {
    const net::HttpResponse Response =
        Mismatching.submit(0, Mismatching.mintKey(), Class, 1000);
    CHECK(Response.Status_ == 504);
    CHECK(header(Response, "Medlarmoor-Outcome") == "unknown");
  }
}

TEST_CASE("in a partitioned failure domain only the majority runs requests") {
  Fleet Entries(5);
  FakeUpstream &Upstream = Entries.addUpstream();
  Entries.start();
  for (const std::size_t Entry : {0U, 1U})
    Entries.setView(Entry, {0, 1});
  for (const std::size_t Entry : {2U, 3U, 4U})
    Entries.setView(Entry, {2, 3, 4});
  int Done = 0;
  REQUIRE(eventually([&] {
    const std::string Key = Entries.mintKey();
    const std::string MinorityOutcome =
        header(Entries.submit(0, Key, "once", 300), "Medlarmoor-Outcome");
    const std::string MajorityOutcome =
        header(Entries.submit(2, Key, "once", 300), "Medlarmoor-Outcome");
    CHECK(Upstream.runs(Key) <= 1);
    CHECK(MinorityOutcome != "not_run");
    Done += MajorityOutcome == "done" ? 1 : 0;
    return Done >= 5 && MinorityOutcome == "unknown";
  }));
}

TEST_CASE(
    "a complete answer is streamed to the caller, a truncated one fails") {
  constexpr std::size_t Announced = 3'000'000;
  for (const std::size_t Sent : {Announced, Announced - 1}) {
    Fleet Entries(2);
    const TruncatingUpstream Upstream(Entries.reserveUpstream(), Announced,
                                      Sent);
    Entries.start();
    for (std::size_t Entry = 0; Entry < 2; ++Entry) {
      const net::HttpResponse Response =
          Entries.submit(Entry, Entries.mintKey(), "idempotent");
      CHECK(Response.Status_ == (Sent == Announced ? 200 : 0));
      CHECK(
          (Sent < Announced || Response.Body_ == std::string(Announced, 'x')));
    }
  }
}
