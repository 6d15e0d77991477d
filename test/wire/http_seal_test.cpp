#include <medlarmoor/wire/http_seal.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::wire;

namespace {

HttpSeal sealOf(const char *Name, const Clock &Time) {
  return {EntryName(Name), Incarnation(4),
          KeyRing({{1, std::vector<std::byte>(16, std::byte{9})}}), Time};
}

} // namespace

TEST_CASE("a signed HTTP message identifies its sender and is accepted once") {
  const Clock Time(std::make_shared<ManualClock>());
  HttpSeal Signer = sealOf("a", Time);
  HttpSeal Verifier = sealOf("b", Time);
  const std::string Header = Signer.sign("POST", "/internal/ledger", "body");
  CHECK(Verifier.verify(Header, "POST", "/internal/ledger", "body") ==
        EntryName("a"));
  CHECK_FALSE(Verifier.verify(Header, "POST", "/internal/ledger", "body"));
  CHECK(Verifier.lastReason() == "replay");
}

TEST_CASE(
    "the signature covers method, target, body and every byte of the header") {
  const Clock Time(std::make_shared<ManualClock>());
  HttpSeal Signer = sealOf("a", Time);
  HttpSeal Verifier = sealOf("b", Time);
  const std::string Header = Signer.sign("POST", "/x", "body");
  CHECK_FALSE(Verifier.verify(Header, "PUT", "/x", "body"));
  CHECK_FALSE(Verifier.verify(Header, "POST", "/xb", "ody"));
  CHECK_FALSE(Verifier.verify(Header, "POST", "/x", "bodx"));
  CHECK_FALSE(Verifier.verify("", "POST", "/x", "body"));
  CHECK(Verifier.lastReason() == "malformed");
  for (std::size_t I = 0; I < Header.size(); ++I) {
    std::string Altered = Header;
    Altered[I] = static_cast<char>(Altered[I] ^ 1);
    CHECK_FALSE(Verifier.verify(Altered, "POST", "/x", "body"));
    CHECK_FALSE(Verifier.verify(Header.substr(0, I), "POST", "/x", "body"));
  }
  CHECK(Verifier.verify(Header, "POST", "/x", "body"));
}
