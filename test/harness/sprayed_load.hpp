#ifndef MEDLARMOOR_HARNESS_SPRAYED_LOAD_HPP
#define MEDLARMOOR_HARNESS_SPRAYED_LOAD_HPP

#include <harness/flow_fleet.hpp>

#include <medlarmoor/core/random.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace medlarmoor::harness {

/// How many flows callers open and how long they last.
struct LoadShape {
  /// New flows a second over all services.
  double Opens_ = 200;
  /// Mean life, exponentially distributed.
  double LifeSeconds_ = 60;
  /// Mean time between two packets of a flow, exponentially distributed.
  double PacketSeconds_ = 3;
};

/// What callers and upstreams saw.
struct LoadFigures {
  std::uint64_t Opened_ = 0;
  std::uint64_t Refused_ = 0;
  /// Established flows one of whose packets reached another upstream, or was
  /// refused.
  std::uint64_t Broken_ = 0;
  /// Packets that reached an upstream of another service.
  std::uint64_t Misrouted_ = 0;
  std::uint64_t Packets_ = 0;
  std::uint64_t Lost_ = 0;
  std::uint64_t Dropped_ = 0;
  /// Entries that handled the packets that arrived.
  std::uint64_t Handled_ = 0;
  /// New flows that reached an upstream after it was told to take none.
  std::uint64_t LateOpens_ = 0;
  /// Flows open at an upstream at once beyond its limit.
  std::uint64_t OverLimit_ = 0;
};

/// Opens flows, sends their packets over entries drawn at random, and judges
/// every packet by where the flow's first one went.
class SprayedLoad {
public:
  /// Sends one packet of a flow that From and To name at the entry drawn; the
  /// upstream that got it.
  using Carrier = std::function<Delivery(std::size_t Entry, Endpoint From,
                                         Endpoint To, Flags Set)>;
  /// The entries that the fabric sprays over at this moment.
  using Spray = std::function<std::vector<std::size_t>()>;

  SprayedLoad(LoadShape Shape, std::uint64_t Seed, Carrier Carry, Spray Over);

  /// The services that callers use and their upstreams.
  void document(const config::Environment &Document);
  /// From now on, a new flow at this upstream counts as late.
  void closeTo(Endpoint Upstream) { Closed_.insert(Upstream); }
  /// Opens Count flows at once, as if they had been there before.
  void fill(std::size_t Count, TimePoint Now);
  /// Sends all packets that fall between the last call and Now.
  void advance(TimePoint Now);
  /// Sends one packet of every open flow.
  void touchAll(TimePoint Now);

  [[nodiscard]] const LoadFigures &figures() const noexcept { return Figures_; }
  [[nodiscard]] std::size_t open() const noexcept { return Flows_.size(); }
  /// Largest number of flows at an upstream of the service over the mean of
  /// those that take new flows.
  [[nodiscard]] double imbalance(std::size_t Service) const;

private:
  struct Flow {
    Endpoint From_;
    std::size_t Service_ = 0;
    Endpoint Upstream_;
    TimePoint Ends_;
    bool Broken_ = false;
  };
  struct Due {
    TimePoint When_;
    std::uint64_t Flow_ = 0;

    friend bool operator>(const Due &A, const Due &B) {
      return A.When_ > B.When_;
    }
  };
  struct Target {
    Endpoint Address_;
    std::vector<Endpoint> Upstreams_;
    std::uint32_t Limit_ = 0;
  };

  [[nodiscard]] Nanos draw(double MeanSeconds);
  [[nodiscard]] std::size_t drawEntry();
  void openFlow(TimePoint When);
  void sendDue(const Due &Next);
  Delivery carry(const Flow &Each, Flags Set);
  void judge(Flow &Each, const Delivery &Got);
  void end(std::uint64_t Id);

  LoadShape Shape_;
  Random Random_;
  Carrier Carry_;
  Spray Over_;
  std::vector<Target> Targets_;
  std::unordered_map<Endpoint, std::size_t> ServiceOf_;
  std::unordered_map<Endpoint, std::uint32_t> OpenAt_;
  std::set<Endpoint> Closed_;
  std::unordered_map<std::uint64_t, Flow> Flows_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> Due_;
  TimePoint NextOpen_;
  std::uint64_t Made_ = 0;
  LoadFigures Figures_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_SPRAYED_LOAD_HPP
