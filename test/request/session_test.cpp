#include <request/fleet.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace medlarmoor;
using namespace medlarmoor::test;

namespace {

/// Records requests and responses as text, with names in place of keys, which
/// differ from run to run.
class Session {
public:
  explicit Session(Fleet &Entries) : Entries_(Entries) {}

  /// Mints a key that is recorded as Name.
  void mint(const std::string &Name) { Keys_[Name] = Entries_.mintKey(); }
  [[nodiscard]] const std::string &key(const std::string &Name) {
    return Keys_.at(Name);
  }
  /// Adds a comment to the record.
  void note(const std::string &Line) { Text_ += "-- " + Line + "\n"; }

  /// Submits with the key Name to Entry, which is recorded as Role. An empty
  /// Name sends no key.
  void submit(const std::string &Role, std::size_t Entry,
              const std::string &Name, const std::string &Class = "once",
              int DeadlineMs = 2000, const std::string &Try = {}) {
    net::HttpRequest Request{"POST", "/v1/services/seal/requests", {}, "{}"};
    if (!Name.empty())
      Request.Headers_.add("Idempotency-Key", key(Name));
    Request.Headers_.add("Medlarmoor-Class", Class);
    Request.Headers_.add("Medlarmoor-Deadline-Ms", std::to_string(DeadlineMs));
    if (!Try.empty())
      Request.Headers_.add("Medlarmoor-Try", Try);
    send(Role, Entry, Request);
  }
  /// Sends a look-up (GET) or a cancellation (DELETE) of the key Name.
  void callKey(const std::string &Method, const std::string &Role,
               std::size_t Entry, const std::string &Name) {
    send(Role, Entry,
         {Method, "/v1/services/seal/requests/" + key(Name), {}, {}});
  }

  /// Compares the record with the golden file File. The file is rewritten first
  /// if MEDLARMOOR_WRITE_GOLDEN is set.
  void compare(const std::string &File) {
    const std::string Path =
        std::string(MEDLARMOOR_SOURCE_DIR "/test/request/golden/") + File;
    if (std::getenv("MEDLARMOOR_WRITE_GOLDEN"))
      std::ofstream(Path) << Text_;
    std::ostringstream Golden;
    Golden << std::ifstream(Path).rdbuf();
    CHECK(Text_ == Golden.str());
  }

private:
  void send(const std::string &Role, std::size_t Entry,
            const net::HttpRequest &Request) {
    std::string Lines =
        "> " + Role + " " + Request.Method_ + " " + Request.Target_ + "\n";
    for (const auto &[Name, Value] : Request.Headers_)
      Lines += ">   " + Name + ": " + Value + "\n";
    const net::HttpResponse Response = Entries_.send(Entry, Request);
    Lines += "< " + std::to_string(Response.Status_) + " " +
             header(Response, "Medlarmoor-Outcome") + " " + Response.Body_;
    Text_ += named(Lines) + (Lines.ends_with('\n') ? "\n" : "\n\n");
  }
  /// Replaces each key in Text by its name.
  [[nodiscard]] std::string named(std::string Text) const {
    for (const auto &[Name, Key] : Keys_)
      for (std::size_t Found = Text.find(Key); Found != std::string::npos;
           Found = Text.find(Key))
        Text.replace(Found, Key.size(), Name);
    return Text;
  }

  Fleet &Entries_;
  std::map<std::string, std::string> Keys_;
  std::string Text_;
};

/// Upstream behaviour that holds the answer to one request back until the next
/// request, and then sends each request the answer to the other.
class AnswerSwapper {
public:
  void operator()(const net::HttpRequest &Request,
                  const net::HttpReply &Reply) {
    net::HttpResponse Response{
        200, {}, "ran " + *Request.Headers_.find("Idempotency-Key")};
    Response.Headers_.add("Medlarmoor-Attempt",
                          *Request.Headers_.find("Medlarmoor-Attempt"));
    if (!Held_)
      Held_.emplace(Reply, std::move(Response));
    else {
      Reply(std::move(Held_->second));
      Held_->first(std::move(Response));
      Held_.reset();
    }
  }

private:
  std::optional<std::pair<net::HttpReply, net::HttpResponse>> Held_;
};

} // namespace

TEST_CASE("golden session: submit, look up, repeat, bad input") {
  Fleet Entries(3);
  Entries.addUpstream();
  Entries.start();
  Session Recorder(Entries);
  Recorder.mint("K1");
  Recorder.mint("K2");
  Recorder.submit("dispatcher", Entries.dispatcher(), "K1");
  Recorder.callKey("GET", "successor", Entries.successor(), "K1");
  Recorder.submit("successor", Entries.successor(), "K1");
  Recorder.callKey("GET", "successor", Entries.successor(), "K2");
  Recorder.submit("dispatcher", Entries.dispatcher(), "", "once", 0);
  Recorder.submit("dispatcher", Entries.dispatcher(), "K1", "often", 99'000);
  Recorder.note("a bad request with the key of a completed request is answered "
                "with done");
  Recorder.submit("dispatcher", Entries.dispatcher(), "K1", "once", 0);
  Recorder.compare("submit.txt");
}

TEST_CASE("golden session: refusal, duplicate, new try, cancellation") {
  Fleet Entries(3);
  Entries.addUpstream();
  Entries.start();
  Session Recorder(Entries);
  Recorder.mint("K1");
  Recorder.mint("K2");
  Recorder.note("K1 is refused before dispatch, and again for the same try");
  Recorder.submit("dispatcher", Entries.dispatcher(), "K1", "once", 0);
  Recorder.submit("successor", Entries.successor(), "K1");
  Recorder.note("its caller increments the try, then repeats the call");
  Recorder.submit("successor", Entries.successor(), "K1", "once", 2000, "2");
  Recorder.submit("dispatcher", Entries.dispatcher(), "K1", "once", 2000, "2");
  Recorder.note("K2 is cancelled; a higher try does not reopen it");
  Recorder.callKey("DELETE", "dispatcher", Entries.dispatcher(), "K2");
  Recorder.submit("successor", Entries.successor(), "K2", "once", 2000, "2");
  Recorder.compare("retry.txt");
}

TEST_CASE("golden session: swapped answers") {
  Fleet Entries(3);
  Entries.addUpstream(AnswerSwapper());
  Entries.start();
  Session Recorder(Entries);
  Recorder.mint("K1");
  Recorder.mint("K2");
  Recorder.note(
      "K2 runs concurrently with K1, and the upstream swaps the two answers");
  net::HttpResponse OtherResponse;
  std::thread OtherCaller([&] {
    OtherResponse =
        Entries.submit(Entries.successor(), Recorder.key("K2"), "once", 2000);
  });
  Recorder.submit("dispatcher", Entries.dispatcher(), "K1");
  OtherCaller.join();
  CHECK(header(OtherResponse, "Medlarmoor-Outcome") == "unknown");
  Recorder.submit("successor", Entries.successor(), "K1");
  Recorder.submit("successor", Entries.successor(), "K2");
  Recorder.compare("crossed.txt");
}

TEST_CASE("golden session: takeover after a crash") {
  Fleet Entries(3);
  FakeUpstream &Upstream = Entries.addUpstream(nullptr, 2, Millis(300));
  Entries.start();
  const std::size_t Crashed = Entries.dispatcher();
  const std::size_t Successor = Entries.successor();
  const std::size_t Third = 3 - Crashed - Successor;
  Session Recorder(Entries);
  Recorder.mint("K1");
  Recorder.mint("K2");
  Recorder.mint("K3");
  Recorder.submit("dispatcher", Crashed, "K1");
  std::thread Caller(
      [&] { (void)Entries.submit(Crashed, Recorder.key("K2")); });
  REQUIRE(eventually([&] { return Upstream.runs(Recorder.key("K2")) == 1; }));
  Entries.crash(Crashed);
  Caller.join();
  for (const std::size_t Entry : {Successor, Third})
    Entries.setView(Entry, {Successor, Third});
  Recorder.note(
      "the dispatcher crashed: K1 was done, K2 was running, K3 was not sent");
  Recorder.submit("third", Third, "K1");
  Recorder.submit("third", Third, "K2");
  Recorder.submit("third", Third, "K3");
  CHECK(Upstream.runs(Recorder.key("K1")) == 1);
  CHECK(Upstream.runs(Recorder.key("K2")) == 1);
  CHECK(Upstream.runs(Recorder.key("K3")) == 0);
  Recorder.compare("take_over.txt");
}
