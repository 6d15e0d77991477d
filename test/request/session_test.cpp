#include <request/fleet.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace medlarmoor;
using namespace medlarmoor::test;

namespace {

/// Records what callers send and get, with names in place of keys.
class Session {
public:
  explicit Session(Fleet &Over) : Over_(Over) {}

  /// Mints a key that the record calls Name.
  void mint(const std::string &Name) { Keys_[Name] = Over_.key(); }
  [[nodiscard]] const std::string &key(const std::string &Name) {
    return Keys_.at(Name);
  }
  void note(const std::string &Line) { Text_ += "-- " + Line + "\n"; }

  /// Submits under the key Name at an entry of the role At.
  void submit(const std::string &At, std::size_t Entry, const std::string &Name,
              const std::string &Class = "once", int DeadlineMs = 2000,
              const std::string &Try = {}) {
    net::HttpRequest Out{"POST", "/v1/services/seal/requests", {}, "{}"};
    if (!Name.empty())
      Out.Headers_.add("Idempotency-Key", key(Name));
    Out.Headers_.add("Medlarmoor-Class", Class);
    Out.Headers_.add("Medlarmoor-Deadline-Ms", std::to_string(DeadlineMs));
    if (!Try.empty())
      Out.Headers_.add("Medlarmoor-Try", Try);
    send(At, Entry, Out);
  }
  void ask(const std::string &Method, const std::string &At, std::size_t Entry,
           const std::string &Name) {
    send(At, Entry,
         {Method, "/v1/services/seal/requests/" + key(Name), {}, {}});
  }

  /// The record against the file of that name, which is written anew when
  /// MEDLARMOOR_WRITE_GOLDEN is set.
  void compare(const std::string &File) {
    const std::string Path =
        std::string(MEDLARMOOR_SOURCE_DIR "/test/request/golden/") + File;
    if (std::getenv("MEDLARMOOR_WRITE_GOLDEN"))
      std::ofstream(Path) << Text_;
    std::ostringstream Kept;
    Kept << std::ifstream(Path).rdbuf();
    CHECK(Text_ == Kept.str());
  }

private:
  void send(const std::string &At, std::size_t Entry,
            const net::HttpRequest &Out) {
    std::string Line = "> " + At + " " + Out.Method_ + " " + Out.Target_ + "\n";
    for (const auto &[Name, Value] : Out.Headers_)
      Line += ">   " + Name + ": " + Value + "\n";
    const net::HttpResponse Got = Over_.send(Entry, Out);
    Line += "< " + std::to_string(Got.Status_) + " " +
            header(Got, "Medlarmoor-Outcome") + " " + Got.Body_;
    Text_ += named(Line) + (Line.ends_with('\n') ? "\n" : "\n\n");
  }
  [[nodiscard]] std::string named(std::string Text) const {
    for (const auto &[Name, Key] : Keys_)
      for (std::size_t At = Text.find(Key); At != std::string::npos;
           At = Text.find(Key))
        Text.replace(At, Key.size(), Name);
    return Text;
  }

  Fleet &Over_;
  std::map<std::string, std::string> Keys_;
  std::string Text_;
};

/// Gives each of two answers to the request of the other.
class Crossing {
public:
  void operator()(const net::HttpRequest &Request,
                  const net::HttpReply &Reply) {
    net::HttpResponse Out{
        200, {}, "ran " + *Request.Headers_.find("Idempotency-Key")};
    Out.Headers_.add("Medlarmoor-Attempt",
                     *Request.Headers_.find("Medlarmoor-Attempt"));
    if (!Held_)
      Held_.emplace(Reply, std::move(Out));
    else {
      Reply(std::move(Held_->second));
      Held_->first(std::move(Out));
      Held_.reset();
    }
  }

private:
  std::optional<std::pair<net::HttpReply, net::HttpResponse>> Held_;
};

} // namespace

TEST_CASE("golden session: submit, ask, repeat, bad input") {
  Fleet All(3);
  All.addUpstream();
  All.start();
  Session On(All);
  On.mint("K1");
  On.mint("K2");
  On.submit("dispatcher", All.dispatcher(), "K1");
  On.ask("GET", "successor", All.successor(), "K1");
  On.submit("successor", All.successor(), "K1");
  On.ask("GET", "successor", All.successor(), "K2");
  On.submit("dispatcher", All.dispatcher(), "", "once", 0);
  On.submit("dispatcher", All.dispatcher(), "K1", "often", 99'000);
  On.note("a bad request under a key that ran does not deny the run");
  On.submit("dispatcher", All.dispatcher(), "K1", "once", 0);
  On.compare("submit.txt");
}

TEST_CASE("golden session: refused, repeated, tried anew") {
  Fleet All(3);
  All.addUpstream();
  All.start();
  Session On(All);
  On.mint("K1");
  On.mint("K2");
  On.note("K1 is refused before dispatch and stays so for the same try");
  On.submit("dispatcher", All.dispatcher(), "K1", "once", 0);
  On.submit("successor", All.successor(), "K1");
  On.note("its caller counts up, then repeats the call");
  On.submit("successor", All.successor(), "K1", "once", 2000, "2");
  On.submit("dispatcher", All.dispatcher(), "K1", "once", 2000, "2");
  On.note("K2 is cancelled, which no try takes back");
  On.ask("DELETE", "dispatcher", All.dispatcher(), "K2");
  On.submit("successor", All.successor(), "K2", "once", 2000, "2");
  On.compare("retry.txt");
}

TEST_CASE("golden session: crossed answers") {
  Fleet All(3);
  All.addUpstream(Crossing());
  All.start();
  Session On(All);
  On.mint("K1");
  On.mint("K2");
  On.note("K2 runs beside K1, and the upstream crosses the two answers");
  net::HttpResponse Beside;
  std::thread Other([&] {
    Beside = All.submit(All.successor(), On.key("K2"), "once", 2000);
  });
  On.submit("dispatcher", All.dispatcher(), "K1");
  Other.join();
  CHECK(header(Beside, "Medlarmoor-Outcome") == "unknown");
  On.submit("successor", All.successor(), "K1");
  On.submit("successor", All.successor(), "K2");
  On.compare("crossed.txt");
}

TEST_CASE("golden session: take-over") {
  Fleet All(3);
  FakeUpstream &Upstream = All.addUpstream(nullptr, 2, Millis(300));
  All.start();
  const std::size_t Dead = All.dispatcher();
  const std::size_t Next = All.successor();
  const std::size_t Third = 3 - Dead - Next;
  Session On(All);
  On.mint("K1");
  On.mint("K2");
  On.mint("K3");
  On.submit("dispatcher", Dead, "K1");
  std::thread Caller([&] { (void)All.submit(Dead, On.key("K2")); });
  REQUIRE(eventually([&] { return Upstream.runs(On.key("K2")) == 1; }));
  All.crash(Dead);
  Caller.join();
  for (const std::size_t At : {Next, Third})
    All.see(At, {Next, Third});
  On.note("the dispatcher died: K1 was done, K2 ran, K3 was never sent");
  On.submit("third", Third, "K1");
  On.submit("third", Third, "K2");
  On.submit("third", Third, "K3");
  CHECK(Upstream.runs(On.key("K1")) == 1);
  CHECK(Upstream.runs(On.key("K2")) == 1);
  CHECK(Upstream.runs(On.key("K3")) == 0);
  On.compare("take_over.txt");
}
