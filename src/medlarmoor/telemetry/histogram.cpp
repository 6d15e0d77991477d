#include <medlarmoor/telemetry/histogram.hpp>

#include <boost/histogram.hpp>

#include <atomic>
#include <limits>

namespace medlarmoor::telemetry {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using SafeCount = bh::accumulators::count<std::uint64_t, /*ThreadSafe=*/true>;

constexpr unsigned Buckets = 30;
constexpr double Shortest = 1e-4;
constexpr double Longest = 1e2;

auto makeCounts() {
  return bh::make_histogram_with(bh::dense_storage<SafeCount>(),
                                 LogAxis(Buckets, Shortest, Longest));
}

} // namespace

struct Histogram::Impl {
  decltype(makeCounts()) Counts_ = makeCounts();
  std::atomic<std::uint64_t> SumNanos_{0};
};

Histogram::Histogram() : Impl_(std::make_unique<Impl>()) {}

Histogram::~Histogram() = default;

void Histogram::record(Nanos Duration) {
  const Nanos Positive = std::max(Duration, Nanos(0));
  Impl_->Counts_(std::chrono::duration<double>(Positive).count());
  Impl_->SumNanos_.fetch_add(static_cast<std::uint64_t>(Positive.count()),
                             std::memory_order_relaxed);
}

std::vector<Histogram::Bucket> Histogram::buckets() const {
  std::vector<Bucket> Out;
  std::uint64_t Sum = 0;
  const auto &Axis = Impl_->Counts_.axis(0);
  // -1 is the underflow, which the first bucket of Prometheus includes.
  for (int I = -1; I <= Axis.size(); ++I) {
    Sum += Impl_->Counts_.at(I).value();
    const double UpTo = I == Axis.size()
                            ? std::numeric_limits<double>::infinity()
                            : Axis.bin(I).upper();
    Out.push_back({UpTo, Sum});
  }
  return Out;
}

double Histogram::sum() const {
  return static_cast<double>(Impl_->SumNanos_.load(std::memory_order_relaxed)) /
         1e9;
}

} // namespace medlarmoor::telemetry
