#ifndef MEDLARMOOR_BENCH_REQUESTS_LARGE_ANSWER_HPP
#define MEDLARMOOR_BENCH_REQUESTS_LARGE_ANSWER_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstdint>
#include <string>

#include <sys/types.h>

namespace medlarmoor::bench {

/// One answer that was read without keeping it.
struct Download {
  /// Bytes of the body that its header promises.
  std::uint64_t Promised_ = 0;
  /// Bytes of the body that arrived.
  std::uint64_t Bytes_ = 0;
  double Seconds_ = 0;

  [[nodiscard]] bool whole() const noexcept {
    return Promised_ > 0 && Promised_ == Bytes_;
  }
};

/// Sends one idempotent request to the request door at From and reads the
/// whole answer.
[[nodiscard]] Download download(Endpoint From, const std::string &Key);

/// The most memory that the process has held, in KiB; 0 when unknown.
[[nodiscard]] std::uint64_t peakMemoryKiB(pid_t Of);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REQUESTS_LARGE_ANSWER_HPP
