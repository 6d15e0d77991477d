#include <request/fleet.hpp>
#include <request/truncating_upstream.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::test;

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
  FakeUpstream &Upstream = All.addUpstream(nullptr, 2, Millis(400));
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

TEST_CASE("a duplicate waits for the request that runs") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream(nullptr, 2, Millis(400));
  All.start();
  const std::string Key = All.key();
  net::HttpResponse First;
  std::thread Caller([&] { First = All.submit(0, Key); });
  REQUIRE(eventually([&] { return Upstream.runs(Key) == 1; }));
  const net::HttpResponse Second = All.submit(1, Key);
  Caller.join();
  CHECK(First.Body_ == "ran " + Key);
  CHECK(Second.Body_ == "ran " + Key);
  CHECK(Upstream.runs(Key) == 1);
}

TEST_CASE("the next dispatcher knows what its crashed predecessor sent") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream(nullptr, 2, Millis(300));
  All.start();
  const std::size_t Dead = All.dispatcher();
  const std::size_t Next = All.successor();
  const std::size_t Third = 3 - Dead - Next;
  const std::string Key = All.key();
  net::HttpResponse Cut;
  std::thread Caller([&] { Cut = All.submit(Dead, Key); });
  REQUIRE(eventually([&] { return Upstream.runs(Key) == 1; }));
  All.crash(Dead);
  Caller.join();
  CHECK(Cut.Status_ == 0);
  All.see(Next, {Next, Third});
  All.see(Third, {Next, Third});
  const net::HttpResponse Again = All.submit(Third, Key);
  CHECK(Again.Status_ == 504);
  CHECK(header(Again, "Medlarmoor-Outcome") == "unknown");
  CHECK(Again.Body_ ==
        "{\"outcome\":\"unknown\",\"reason\":\"running\",\"retry\":true}\n");
  REQUIRE(
      eventually([&] { return All.submit(Third, All.key()).Status_ == 200; }));
  CHECK(Upstream.runs(Key) == 1);
}

TEST_CASE("an entry without a majority answers unknown, never not_run") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream();
  All.start();
  All.see(0, {0});
  const std::string Key = All.key();
  net::HttpResponse Got;
  REQUIRE(eventually([&] {
    Got = All.submit(0, Key, "once", 500);
    return Got.Status_ == 504;
  }));
  CHECK(header(Got, "Medlarmoor-Outcome") == "unknown");
  CHECK(header(All.submit(0, "bawshar-1-1", "once", 500),
               "Medlarmoor-Outcome") == "unknown");
  CHECK(Upstream.runs(Key) == 0);
}

TEST_CASE("a planned stop hands over and cuts nothing") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream(nullptr, 2, Millis(250));
  All.start();
  const std::size_t Leaver = All.dispatcher();
  std::vector<std::string> Keys;
  std::vector<net::HttpResponse> Got(6);
  std::vector<std::thread> Callers;
  for (std::size_t I = 0; I < Got.size(); ++I)
    Keys.push_back(All.key());
  for (std::size_t I = 0; I < Got.size(); ++I)
    Callers.emplace_back([&, I] { Got[I] = All.submit(I % 3, Keys[I]); });
  REQUIRE(eventually([&] { return Upstream.mostAtOnce() == 2; }));
  for (std::size_t At = 0; At < 3; ++At)
    All.see(At, {0, 1, 2}, Leaver);
  All.entry(Leaver).leave();
  for (std::thread &Each : Callers)
    Each.join();
  REQUIRE(eventually([&] { return All.entry(Leaver).handedOver(); }));
  for (std::size_t I = 0; I < Got.size(); ++I) {
    CHECK(Got[I].Status_ == 200);
    CHECK(Upstream.runs(Keys[I]) == 1);
  }
  const net::HttpResponse Again = All.submit(All.successor(), Keys[0]);
  CHECK(header(Again, "Medlarmoor-Outcome") == "done");
}

TEST_CASE("a cancelled request that waits was not run and stays so") {
  Fleet All(2);
  FakeUpstream &Upstream = All.addUpstream(nullptr, 1, Millis(500));
  All.start();
  const std::string Running = All.key();
  const std::string Waiting = All.key();
  net::HttpResponse First;
  net::HttpResponse Second;
  std::thread One([&] { First = All.submit(0, Running); });
  REQUIRE(eventually([&] { return Upstream.runs(Running) == 1; }));
  std::thread Two([&] { Second = All.submit(1, Waiting); });
  net::HttpRequest Cancel{
      "DELETE", "/v1/services/seal/requests/" + Waiting, {}, ""};
  REQUIRE(eventually([&] {
    const net::HttpRequest Ask{"GET", Cancel.Target_, {}, ""};
    return All.send(0, Ask).Body_.find("waiting") != std::string::npos;
  }));
  const net::HttpResponse Cancelled = All.send(0, Cancel);
  One.join();
  Two.join();
  CHECK(First.Status_ == 200);
  CHECK(header(Cancelled, "Medlarmoor-Outcome") == "not_run");
  CHECK(header(Second, "Medlarmoor-Outcome") == "not_run");
  CHECK(header(All.submit(0, Waiting), "Medlarmoor-Outcome") == "not_run");
  CHECK(Upstream.runs(Waiting) == 0);
}

TEST_CASE("a shed request goes elsewhere, a crossed answer goes nowhere") {
  Fleet All(1);
  All.addUpstream(
      [](const net::HttpRequest &Request, const net::HttpReply &Reply) {
        net::HttpResponse Out{503, {}, ""};
        Out.Headers_.add("Medlarmoor-Attempt",
                         *Request.Headers_.find("Medlarmoor-Attempt"));
        Out.Headers_.add("Medlarmoor-Not-Run", "1");
        Reply(std::move(Out));
      });
  All.addUpstream();
  All.start();
  for (int I = 0; I < 20; ++I)
    CHECK(All.submit(0, All.key()).Status_ == 200);

  Fleet Crossing(1);
  Crossing.addUpstream(
      [](const net::HttpRequest &, const net::HttpReply &Reply) {
        net::HttpResponse Out{200, {}, "of somebody else"};
        Out.Headers_.add("Medlarmoor-Attempt", "another.1.seal.1");
        Reply(std::move(Out));
      });
  Crossing.start();
  for (const char *Class : {"once", "idempotent"}) {
    const net::HttpResponse Got =
        Crossing.submit(0, Crossing.key(), Class, 1000);
    CHECK(Got.Status_ == 504);
    CHECK(header(Got, "Medlarmoor-Outcome") == "unknown");
  }
}

TEST_CASE("of a domain cut in two only the majority runs a request") {
  Fleet All(5);
  FakeUpstream &Upstream = All.addUpstream();
  All.start();
  for (const std::size_t At : {0U, 1U})
    All.see(At, {0, 1});
  for (const std::size_t At : {2U, 3U, 4U})
    All.see(At, {2, 3, 4});
  int Done = 0;
  REQUIRE(eventually([&] {
    const std::string Key = All.key();
    const std::string Minor =
        header(All.submit(0, Key, "once", 300), "Medlarmoor-Outcome");
    const std::string Major =
        header(All.submit(2, Key, "once", 300), "Medlarmoor-Outcome");
    CHECK(Upstream.runs(Key) <= 1);
    CHECK(Minor != "not_run");
    Done += Major == "done" ? 1 : 0;
    return Done >= 5 && Minor == "unknown";
  }));
}

TEST_CASE("a whole answer streams through, a cut one is seen as cut") {
  constexpr std::size_t Promised = 3'000'000;
  for (const std::size_t Sent : {Promised, Promised - 1}) {
    Fleet All(2);
    const TruncatingUpstream Upstream(All.reserveUpstream(), Promised, Sent);
    All.start();
    for (std::size_t At = 0; At < 2; ++At) {
      const net::HttpResponse Got = All.submit(At, All.key(), "idempotent");
      CHECK(Got.Status_ == (Sent == Promised ? 200 : 0));
      CHECK((Sent < Promised || Got.Body_ == std::string(Promised, 'x')));
    }
  }
}
