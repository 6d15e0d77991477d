#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/silence_detector.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const affinity::Tag Dark(1);
const affinity::Tag Healthy(2);

Endpoint peer(std::uint32_t Host) { return {Ipv4(0x0a000000 + Host), 7720}; }

} // namespace

TEST_CASE("dark upstream: handshakes that several instances see unanswered "
          "mark it as silent") {
  SilenceDetector Silence;
  Silence.recordResponse(Healthy, at(0));
  Silence.recordReport(Dark, peer(1), at(10));
  Silence.recordReport(Dark, peer(2), at(30));
  CHECK_FALSE(Silence.silent(Dark, at(30)));
  Silence.recordTimeout(Dark, at(40));
  CHECK(Silence.silent(Dark, at(40)));
  CHECK_FALSE(Silence.silent(Healthy, at(40)));
}

TEST_CASE("dark upstream: a repeated request adds to handshakes that were "
          "unanswered earlier") {
  SilenceDetector Silence;
  Silence.recordReport(Dark, peer(1), at(0));
  Silence.recordReport(Dark, peer(2), at(300));
  Silence.recordResponse(Healthy, at(2400));
  CHECK_FALSE(Silence.silent(Dark, at(2400)));
  Silence.recordRepeatedRequest(Dark, at(2500));
  CHECK(Silence.silent(Dark, at(2500)));
}

TEST_CASE("an instance whose own links fail does not mark an upstream for "
          "others") {
  SilenceDetector Silence;
  for (int Ms = 0; Ms < 3000; Ms += 100) {
    Silence.recordResponse(Healthy, at(Ms));
    Silence.recordReport(Dark, peer(1), at(Ms));
    CHECK_FALSE(Silence.silent(Dark, at(Ms)));
  }
}

TEST_CASE(
    "full upstream: it counts as silent only until it answers a request") {
  SilenceDetector Silence;
  for (std::uint32_t Host = 1; Host < 4; ++Host)
    Silence.recordReport(Dark, peer(Host), at(0));
  Silence.recordResponse(Healthy, at(10));
  CHECK(Silence.silent(Dark, at(10)));
  Silence.recordResponse(Dark, at(20));
  CHECK_FALSE(Silence.silent(Dark, at(20)));
  Silence.recordResponse(Healthy, at(400));
  CHECK_FALSE(Silence.silent(Dark, at(400)));
}

TEST_CASE("slow upstream: repeated requests alone never mark it as silent") {
  SilenceDetector Silence;
  Silence.recordResponse(Healthy, at(0));
  for (int Ms = 0; Ms < 1000; Ms += 20) {
    Silence.recordRepeatedRequest(Dark, at(Ms));
    Silence.recordResponse(Healthy, at(Ms));
    CHECK_FALSE(Silence.silent(Dark, at(Ms)));
  }
}

TEST_CASE("lossy links: an upstream that answers in between is not silent") {
  SilenceDetector Silence;
  for (int Ms = 0; Ms < 3000; Ms += 100) {
    Silence.recordTimeout(Dark, at(Ms));
    Silence.recordReport(Dark, peer(1), at(Ms));
    CHECK_FALSE(Silence.silent(Dark, at(Ms)));
    Silence.recordResponse(Dark, at(Ms + 50));
  }
}

TEST_CASE("handshakes that are lost far apart do not add up") {
  SilenceDetector Silence;
  for (int Ms = 0; Ms < 20'000; Ms += 1000) {
    Silence.recordResponse(Healthy, at(Ms));
    Silence.recordTimeout(Dark, at(Ms));
    CHECK_FALSE(Silence.silent(Dark, at(Ms)));
  }
}

TEST_CASE("an instance that no upstream answers calls none silent") {
  SilenceDetector Silence;
  for (std::uint32_t Host = 1; Host < 5; ++Host)
    Silence.recordReport(Dark, peer(Host), at(0));
  CHECK_FALSE(Silence.silent(Dark, at(0)));
  Silence.recordResponse(Healthy, at(10));
  CHECK(Silence.silent(Dark, at(10)));
  CHECK_FALSE(Silence.silent(Dark, at(400)));
}

TEST_CASE("an upstream that answers again, or without new evidence, is not "
          "silent any more") {
  SilenceDetector Silence;
  for (std::uint32_t Host = 1; Host < 5; ++Host)
    Silence.recordReport(Dark, peer(Host), at(0));
  Silence.recordResponse(Healthy, at(3900));
  CHECK(Silence.silent(Dark, at(3999)));
  Silence.recordResponse(Healthy, at(4000));
  CHECK_FALSE(Silence.silent(Dark, at(4000)));
  for (std::uint32_t Host = 1; Host < 5; ++Host)
    Silence.recordReport(Dark, peer(Host), at(4000));
  CHECK(Silence.silent(Dark, at(4000)));
  Silence.recordResponse(Dark, at(4010));
  CHECK_FALSE(Silence.silent(Dark, at(4010)));
}

TEST_CASE("flood of handshakes that clients do not finish: an upstream that "
          "answers others is not silent") {
  SilenceDetector Silence;
  for (int Ms = 0; Ms < 5000; Ms += 10) {
    if (Ms % 200 == 0)
      Silence.recordResponse(Healthy, at(Ms));
    for (std::uint32_t Host = 1; Host < 5; ++Host)
      Silence.recordReport(Healthy, peer(Host), at(Ms));
    Silence.recordTimeout(Healthy, at(Ms));
    CHECK_FALSE(Silence.silent(Healthy, at(Ms)));
  }
}

TEST_CASE("unanswered handshakes are reported once, and records expire") {
  SilenceDetector Silence;
  Silence.recordTimeout(Dark, at(0));
  Silence.recordTimeout(Dark, at(10));
  Silence.recordReport(Healthy, peer(1), at(10));
  CHECK(Silence.takeReports() == std::vector{Dark});
  CHECK(Silence.takeReports().empty());
  CHECK(Silence.size() == 2);
  Silence.expire(at(6000));
  CHECK(Silence.size() == 0);
}
