#include <medlarmoor/telemetry/registry.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <thread>

using namespace medlarmoor;
using namespace medlarmoor::telemetry;

TEST_CASE("counters and gauges are written with one type line a name") {
  Registry Metrics;
  Metrics.counter("b_total", "reason=\"y\"").add(2);
  Metrics.counter("b_total", "reason=\"x\"").add();
  Metrics.gauge("a").set(-3);
  CHECK(Metrics.text() == "# TYPE b_total counter\n"
                          "b_total{reason=\"x\"} 1\n"
                          "b_total{reason=\"y\"} 2\n"
                          "# TYPE a gauge\n"
                          "a -3\n");
}

TEST_CASE("a histogram counts each duration in its bucket and those above") {
  Histogram Each;
  for (const Nanos Value : {Nanos(Micros(20)), Nanos(Millis(1)),
                            Nanos(Millis(40)), Nanos(Seconds(500))})
    Each.record(Value);
  const auto Buckets = Each.buckets();
  for (const auto &Bucket : Buckets) {
    const std::uint64_t Expected = Bucket.UpTo_ >= 500   ? 4U
                                   : Bucket.UpTo_ > 0.04 ? 3U
                                   : Bucket.UpTo_ > 1e-3 ? 2U
                                                         : 1U;
    CHECK(Bucket.Count_ == Expected);
  }
  CHECK(std::isinf(Buckets.back().UpTo_));
  CHECK(Buckets.front().UpTo_ == Approx(1e-4));
  CHECK(Each.sum() == Approx(500.04102));
}

TEST_CASE("a histogram loses no count between threads") {
  Registry Metrics;
  Histogram &Each = Metrics.histogram("wait_seconds", "service=\"archivo\"");
  const auto Fill = [&Each] {
    for (int I = 0; I < 10'000; ++I)
      Each.record(Micros(I));
  };
  std::thread A(Fill);
  std::thread B(Fill);
  A.join();
  B.join();
  CHECK(Each.buckets().back().Count_ == 20'000);
  const std::string Text = Metrics.text();
  CHECK(Text.find("# TYPE wait_seconds histogram\n") == 0);
  CHECK(Text.find(
            "wait_seconds_bucket{service=\"archivo\",le=\"+Inf\"} 20000\n") !=
        std::string::npos);
  CHECK(Text.find("wait_seconds_count{service=\"archivo\"} 20000\n") !=
        std::string::npos);
}
