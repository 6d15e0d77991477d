#ifndef MEDLARMOOR_HARNESS_SYNC_FLEET_HPP
#define MEDLARMOOR_HARNESS_SYNC_FLEET_HPP

#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/peers/shared_reading.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace medlarmoor::harness {

/// A fleet of instances that share the reading of a simulated store, in virtual
/// time and without I/O. Instances can be killed, paused, cut off and slowed
/// down. Records how late each change reached the instances that were in touch
/// with the store all the while.
class SyncFleet {
public:
  struct Options {
    std::size_t Instances_ = 5;
    std::size_t Domains_ = 4;
    objects::FollowerTiming Reading_;
    peers::FreshnessTiming Freshness_;
    peers::Fanout Fanout_ = peers::RandomFanout{.Local_ = 2, .Any_ = 1};
    /// Share of datagrams that are lost.
    double Loss_ = 0;
    /// Upper bound of the time that an instance waits for its processor before
    /// it handles an event.
    Millis MaxProcessorWait_{20};
    std::uint64_t Seed_ = 1;
  };

  explicit SyncFleet(Options Setup);
  ~SyncFleet();

  /// Advances time and carries out what is due.
  void run(Millis Duration);
  [[nodiscard]] TimePoint now() const noexcept { return Now_; }
  /// Calls Action after Delay.
  void after(Millis Delay, std::function<void()> Action);

  /// Changes a collection in the store: 0 for upstreams, 1 for routes.
  void change(std::size_t Collection);
  /// Stops an instance and starts it again after Downtime with empty memory.
  void kill(std::size_t Instance, Millis Downtime);
  void pause(std::size_t Instance, Millis Duration);
  /// Cuts an instance off from the store, the other instances, or both.
  void cut(std::size_t Instance, bool Store, bool Peers, Millis Duration);
  /// The instance's open store calls are never answered.
  void silenceCalls(std::size_t Instance);
  /// The store refuses the calls of an instance.
  void refuse(std::size_t Instance, Millis Duration);
  /// The store drops its history.
  void compact() noexcept { HistoryStart_ = Revision_; }

  /// Returns the longest time for which an instance that was in touch did not
  /// know of a change.
  [[nodiscard]] Millis worstDelay() const;
  /// Returns the instances that read the store now.
  [[nodiscard]] std::vector<std::size_t> readers() const;
  [[nodiscard]] std::size_t storeCalls() const noexcept { return StoreCalls_; }
  [[nodiscard]] std::size_t datagrams() const noexcept { return Datagrams_; }
  [[nodiscard]] std::size_t pulls() const noexcept { return Pulls_; }
  [[nodiscard]] std::size_t size() const noexcept { return Instances_.size(); }

private:
  struct Call;
  struct Instance;
  struct Change {
    std::uint64_t Revision_ = 0;
    std::size_t Collection_ = 0;
    TimePoint At_{};
  };
  struct Event {
    TimePoint At_{};
    std::uint64_t Order_ = 0;
    std::function<void()> Action_;
    friend bool operator<(const Event &A, const Event &B) {
      return std::tie(B.At_, B.Order_) < std::tie(A.At_, A.Order_);
    }
  };

  void start(std::size_t Index);
  /// Calls Action on an instance once its processor is free, unless it was
  /// restarted meanwhile.
  void dispatch(std::size_t Index, TimePoint At,
                std::function<void(Instance &)> Action);
  void step(Instance &Node, std::size_t Collection);
  void send(Instance &Node, std::size_t Collection, std::uint64_t Since,
            bool IsList, Millis Wait);
  /// Answers a call from the store.
  void answer(const std::shared_ptr<Call> &Pending, bool IsList);
  void finish(const std::shared_ptr<Call> &Pending, bool IsList, bool Answered,
              bool Gone, std::uint64_t Revision);
  void tick(Instance &Node);
  void receive(Instance &Node);
  void perform(Instance &Node, const peers::SyncActions &Actions);
  void pull(Instance &Node, const peers::PullChanges &Request);
  /// Records which changes the instance has learnt.
  void learn(Instance &Node, std::size_t Collection, std::uint64_t Revision);
  void disturb(Instance &Node, TimePoint Until);
  [[nodiscard]] bool connected(const Instance &A, const Instance &B) const;
  [[nodiscard]] bool reachesStore(const Instance &Node) const;
  [[nodiscard]] std::uint64_t lastChange(std::size_t Collection) const;
  [[nodiscard]] Millis latency();

  Options Setup_;
  Random Random_;
  TimePoint Now_;
  std::uint64_t Revision_ = 10;
  std::uint64_t HistoryStart_ = 0;
  std::vector<Change> Changes_;
  std::priority_queue<Event> Events_;
  std::uint64_t Order_ = 0;
  std::vector<std::unique_ptr<Instance>> Instances_;
  std::set<std::shared_ptr<Call>> Waiting_;
  Millis WorstDelay_{0};
  std::size_t StoreCalls_ = 0;
  std::size_t Datagrams_ = 0;
  std::size_t Pulls_ = 0;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_SYNC_FLEET_HPP
