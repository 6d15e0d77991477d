#include <harness/entry_domain.hpp>
#include <harness/wait.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarmoor;
using namespace medlarmoor::harness;

TEST_CASE("entries find each other, lose a killed one, wake and stop",
          "[daemon_test]") {
  EntryDomain Seeb;
  std::vector<Process> Entries;
  for (int I = 0; I < 4; ++I) {
    Seeb.list(I + 1);
    Entries.push_back(Seeb.start(I + 1));
  }
  REQUIRE(waitUntil([&] { return Seeb.agree({1, 2, 3, 4}); }));
  CHECK(Seeb.get(1, "/healthz")->Status_ == 200);

  Entries[3].kill();
  CHECK(waitUntil([&] { return Seeb.agree({1, 2, 3}); }, Seconds(5)));

  Entries[2].pause();
  CHECK(waitUntil([&] { return Seeb.agree({1, 2}); }, Seconds(5)));
  Entries[2].resume();
  CHECK(waitUntil([&] { return Seeb.agree({1, 2, 3}); }, Seconds(10)));
  CHECK(Entries[2].log().find("event=lease_lapsed") != std::string::npos);

  CHECK(Entries[1].stop() == 0);
  CHECK(Entries[1].log().find("event=stopped") != std::string::npos);
  CHECK(waitUntil([&] { return Seeb.agree({1, 3}); }, Seconds(5)));
  for (Process &Each : Entries)
    Each.stop();
}

TEST_CASE("wrong settings and ports in use are all found and nothing starts",
          "[daemon_test]") {
  EntryDomain Seeb;
  const std::string File = Seeb.folder().write(
      "wrong.toml", "name = \"a\"\ndomain = 5\naddress = \"here\"\n"
                    "platform = \"127.0.0.1\"\nenvironment = \"e\"\n"
                    "colour = \"red\"\nlog_level = \"LOUD\"\n"
                    "[[keys]]\nid = 1\n"
                    "secret = \"000102030405060708090a0b0c0d0e0f\"\n");
  Process Wrong = Process::start("medlarmoord", {"--settings=" + File},
                                 Seeb.folder().path() / "wrong.log");
  CHECK(Wrong.wait(Seconds(10)) == 2);
  const std::string Log = Wrong.log();
  CHECK(std::count(Log.begin(), Log.end(), '\n') == 5);
  for (const char *Line : {":2:", ":3:", ":4:", ":6:", ":7:"})
    CHECK(Log.find("wrong.toml" + std::string(Line)) != std::string::npos);

  Seeb.list(1);
  Process First = Seeb.start(1);
  REQUIRE(waitUntil([&] { return Seeb.get(1, "/healthz").has_value(); }));
  Process Second = Seeb.start(1);
  CHECK(Second.wait(Seconds(10)) == 2);
  for (const char *Port : {"'control'", "'admin'"})
    CHECK(Second.log().find(std::string("port ") + Port) != std::string::npos);
  CHECK(First.stop() == 0);
}
