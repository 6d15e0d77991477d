#include <medlarmoor/core/json_text.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace medlarmoor;

TEST_CASE("JSON text is split at the commas of its outermost level") {
  CHECK(jsonElements("[1, [2,3] ,{\"a\":\"],\\\"\"},\"x,y\"]") ==
        std::vector<std::string_view>{"1", "[2,3]", "{\"a\":\"],\\\"\"}",
                                      "\"x,y\""});
  CHECK(jsonElements(" [ ] ").empty());
  CHECK(jsonMember(jsonMembers("{\"a\":1,\"b\" : {\"a\":2} }"), "b") ==
        "{\"a\":2}");
  CHECK(jsonMember(jsonMembers("{\"a\":1}"), "c").empty());
}

TEST_CASE("JSON text that is cut or has unbalanced brackets has no parts") {
  for (const char *Text : {"", "[", "]", "[1,2", "{\"a\":1", "[1]]", "[1],[2]",
                           "{\"a\"}", "{a:1}", "[\"a]", "[\"a\\]"}) {
    INFO(Text);
    CHECK(jsonElements(Text).empty());
    CHECK(jsonMembers(Text).empty());
  }
}

TEST_CASE("the depth of JSON text counts brackets outside of strings") {
  CHECK(jsonDepth("1") == 0);
  CHECK(jsonDepth("[{\"a\":[]},\"[[[[\"]") == 3);
  CHECK(jsonDepth(std::string(1'000'000, '[')) == 1'000'000);
}
