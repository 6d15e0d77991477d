#include <medlarmoor/wire/http_seal.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::wire;

namespace {

HttpSeal make(const char *Name, const Clock &Time) {
  return {EntryName(Name), Incarnation(4),
          KeyRing({{1, std::vector<std::byte>(16, std::byte{9})}}), Time};
}

} // namespace

TEST_CASE("a signed HTTP message names its sender and passes once") {
  const Clock Time(std::make_shared<ManualClock>());
  HttpSeal A = make("a", Time);
  HttpSeal B = make("b", Time);
  const std::string Header = A.sign("POST", "/internal/ledger", "body");
  CHECK(B.verify(Header, "POST", "/internal/ledger", "body") == EntryName("a"));
  CHECK_FALSE(B.verify(Header, "POST", "/internal/ledger", "body"));
  CHECK(B.lastReason() == "replay");
}

TEST_CASE("method, target, body and every byte of the header are covered") {
  const Clock Time(std::make_shared<ManualClock>());
  HttpSeal A = make("a", Time);
  HttpSeal B = make("b", Time);
  const std::string Header = A.sign("POST", "/x", "body");
  CHECK_FALSE(B.verify(Header, "PUT", "/x", "body"));
  CHECK_FALSE(B.verify(Header, "POST", "/xb", "ody"));
  CHECK_FALSE(B.verify(Header, "POST", "/x", "bodx"));
  CHECK_FALSE(B.verify("", "POST", "/x", "body"));
  CHECK(B.lastReason() == "malformed");
  for (std::size_t I = 0; I < Header.size(); ++I) {
    std::string Altered = Header;
    Altered[I] = static_cast<char>(Altered[I] ^ 1);
    CHECK_FALSE(B.verify(Altered, "POST", "/x", "body"));
    CHECK_FALSE(B.verify(Header.substr(0, I), "POST", "/x", "body"));
  }
  CHECK(B.verify(Header, "POST", "/x", "body"));
}
