#ifndef MEDLARMOOR_BENCH_EDGE_SOAK_JUDGE_HPP
#define MEDLARMOOR_BENCH_EDGE_SOAK_JUDGE_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::bench::soak {

/// Checks the promises by what clients and upstreams see.
class Judge {
public:
  /// The bounds that the platform states.
  static constexpr Millis ChangeLimit{3000};
  static constexpr Millis Calm{4000};

  /// A fault, a start or a stop happened, or still goes on.
  void disturbed(TimePoint Now) { DisturbedAt_ = std::max(DisturbedAt_, Now); }
  /// A route leads from Virtual to Service from now on; nowhere when empty.
  void routed(Endpoint Virtual, const std::string &Service, TimePoint Now);
  /// An upstream told the store that it drains.
  void draining(const std::string &Upstream, TimePoint Now) {
    Draining_[Upstream] = Now;
  }

  /// An upstream took a SYN that a client first sent at Sent.
  void synTaken(const std::string &Upstream, const std::string &Service,
                Endpoint Virtual, TimePoint Now);
  /// An upstream got a packet that its sender did not write so.
  void forged(const std::string &Upstream) {
    broken("packet changed on its way to " + Upstream);
  }
  /// An upstream began to work on a request.
  void run(const std::string &Request);
  /// An edge reset a flow that was not open.
  void refused(Endpoint Virtual, TimePoint Now);
  /// An edge reset a flow that was open.
  void cut(const std::string &Flow) { broken("open flow reset: " + Flow); }
  /// An answer came that belongs to another request.
  void mixed(const std::string &Request) {
    broken("wrong answer to " + Request);
  }
  /// Something that must not happen did.
  void broken(const std::string &What);

  [[nodiscard]] const std::vector<std::string> &findings() const noexcept {
    return Findings_;
  }

private:
  struct Target {
    std::string Service_;
    TimePoint Since_{};
  };

  [[nodiscard]] bool calm(TimePoint Now) const noexcept {
    return Now - DisturbedAt_ >= Calm;
  }

  TimePoint DisturbedAt_{};
  std::map<Endpoint, Target> Routes_;
  std::map<Endpoint, std::set<std::string>> EverRouted_;
  std::map<std::string, TimePoint> Draining_;
  std::set<std::string> Run_;
  std::vector<std::string> Findings_;
};

} // namespace medlarmoor::bench::soak

#endif // MEDLARMOOR_BENCH_EDGE_SOAK_JUDGE_HPP
