#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/core/mailbox.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;

TEST_CASE("an endpoint reads what it prints and nothing else") {
  const std::optional<Endpoint> Read = Endpoint::parse("127.1.2.3:7100");
  REQUIRE(Read);
  CHECK(Read->text() == "127.1.2.3:7100");
  for (const char *Bad :
       {"127.1.2.3", "127.1.2.3:", "127.1.2.3:0", "127.1.2.3:65536",
        "127.1.2:80", "a:80", "1.2.3.4:8x"})
    CHECK_FALSE(Endpoint::parse(Bad));
}

TEST_CASE("findings are printed together in the order of their places") {
  Findings All;
  All.add({"b.toml", 3, 1}, "unknown key 'wieght'", "did you mean 'weight'?");
  All.add({"b.toml", 1, 7}, "wrong type");
  CHECK(All.text() == "b.toml:1:7: wrong type\n"
                      "b.toml:3:1: unknown key 'wieght' (did you mean "
                      "'weight'?)\n");
}

TEST_CASE("a mailbox is bounded and keeps order") {
  Mailbox<int> Box(2);
  CHECK(Box.push(1));
  CHECK(Box.push(2));
  CHECK_FALSE(Box.push(3));
  CHECK(Box.pop() == 1);
  CHECK(Box.pop() == 2);
  CHECK_FALSE(Box.pop());
}
