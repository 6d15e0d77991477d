#include <medlarmoor/config/read_environment.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

std::optional<Environment> example(const std::string &Name) {
  Findings Errors;
  auto Parsed = readEnvironmentFile(
      MEDLARMOOR_SOURCE_DIR "/examples/" + Name + ".toml", Errors);
  INFO(Errors.text());
  CHECK(Errors.empty());
  return Parsed;
}

} // namespace

TEST_CASE("the example documents are parsed completely") {
  const auto Muscat = example("muscat");
  REQUIRE(Muscat);
  CHECK(Muscat->Domains_.size() == 4);
  CHECK(Muscat->Services_.at(0).Upstreams_.size() == 15);
  CHECK(Muscat->Services_.at(1).Upstreams_.size() == 4);
  CHECK(Muscat->Services_.at(0).Policy_.Epsilon_ == 0.25);
  const auto Heredia = example("heredia");
  REQUIRE(Heredia);
  CHECK(Heredia->Domains_.size() == 3);
  CHECK(Heredia->Services_.at(0).Name_ == ServiceName("redaccion"));
  CHECK(Heredia->Services_.at(1).Upstreams_.size() == 4);
  CHECK(Heredia->Services_.at(0).Policy_.Epsilon_ == 0.1);
}

TEST_CASE("a written document parses back to an equal document") {
  auto Original = example("muscat");
  REQUIRE(Original);
  Original->Services_[0].Upstreams_[3].Weight_ = 0.1 + 0.2;
  Original->Services_[0].Upstreams_[4].Drain_ = true;
  Original->Services_[1].Policy_.RetryBudget_ = 0.05;
  Findings Errors;
  CHECK(readEnvironment(writeEnvironment(*Original), "b", Errors) == Original);
  CHECK(Errors.text().empty());
}

TEST_CASE("all errors in a document are reported at once with their places") {
  Findings Errors;
  CHECK_FALSE(readEnvironment("name = \"muscat\"\n"
                              "[[domain]]\n"
                              "name = \"seeb\"\n"
                              "region = \"coast\"\n"
                              "[[service]]\n"
                              "name = \"portal\"\n"
                              "addresses = [\"192.0.2.10:443\"]\n"
                              "[[service.upstream]]\n"
                              "name = \"a\"\n"
                              "domain = \"sebb\"\n"
                              "packets = \"127.0.1.1:7200\"\n"
                              "requests = \"127.0.1.1:7280\"\n"
                              "wieght = 2.0\n"
                              "[[service.upstream]]\n"
                              "name = \"a\"\n"
                              "domain = \"seeb\"\n"
                              "packets = \"127.0.1.1:7200\"\n"
                              "requests = \"127.0.1.2:7280\"\n"
                              "weight = 0\n"
                              "[[service]]\n"
                              "name = \"sheets\"\n"
                              "addresses = [\"192.0.2.10:443\"]\n",
                              "m.toml", Errors));
  CHECK(Errors.text() ==
        "m.toml:10:10: unknown domain 'sebb' (did you mean 'seeb'?)\n"
        "m.toml:13:1: unknown key 'wieght' in upstream (did you mean "
        "'weight'?)\n"
        "m.toml:15:8: duplicate upstream 'a' (first at line 9)\n"
        "m.toml:17:11: duplicate address '127.0.1.1:7200' (first at line 11)\n"
        "m.toml:19:10: 'weight' is out of range (from 0.001 to 1000)\n"
        "m.toml:21:8: service 'sheets' has no upstreams (add "
        "[[service.upstream]])\n"
        "m.toml:22:13: duplicate address '192.0.2.10:443' (first at line "
        "7)\n");
}

TEST_CASE("a syntax error is reported with its place") {
  Findings Errors;
  CHECK_FALSE(readEnvironment("name = \"m\"\n[[domain]\n", "m.toml", Errors));
  REQUIRE(Errors.items().size() == 1);
  CHECK(Errors.items()[0].Place_.Line_ == 2);
}

// toml++ fails an assertion on "[=]" instead of reporting an error with a
// place.
TEST_CASE("an error for which the TOML parser fails an assertion is reported "
          "with its place") {
  Findings Errors;
  CHECK_FALSE(readEnvironment("name = \"m\"\n\n[=]\n[[x]]\n", "m", Errors));
  CHECK(Errors.text() == "m:3:1: invalid TOML: malformed key\n");
}
