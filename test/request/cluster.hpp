#ifndef MEDLARMOOR_TEST_REQUEST_CLUSTER_HPP
#define MEDLARMOOR_TEST_REQUEST_CLUSTER_HPP

#include <medlarmoor/request/dispatcher.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarmoor::test {

/// Simulates several entries without I/O: their decision objects share one
/// manual clock, and messages stay queued until the test delivers or drops
/// them. Counts what upstreams ran and which outcomes callers received.
class Cluster {
public:
  explicit Cluster(std::size_t Entries);
  ~Cluster();

  /// Mints a key and submits it to Entry.
  void submitNew(std::size_t Entry);
  /// Submits an existing key again.
  void submitAgain(std::size_t Key, std::size_t Entry);
  /// Cancels an existing key.
  void cancel(std::size_t Key, std::size_t Entry);
  /// Delivers a queued message. A message to a paused entry stays queued.
  void deliver(std::size_t Index);
  /// Drops a queued message and queues what its sender observes. A message to
  /// a paused entry whose sender observes the loss stays queued.
  void drop(std::size_t Index);
  /// Restarts Entry without its state and with a new incarnation. Results that
  /// are addressed to the former incarnation are ignored.
  void restart(std::size_t Entry);
  void pause(std::size_t Entry);
  void wake(std::size_t Entry);
  /// Sets the view of Entry to itself and the entries whose bit is set in
  /// Members.
  void setView(std::size_t Entry, std::uint32_t Members);
  void advance(Millis Step);
  /// Queues the ledger handoff from Entry to Successor. Does nothing while
  /// Entry is paused or still the dispatcher.
  void handOff(std::size_t Entry, std::size_t Successor);

  [[nodiscard]] std::size_t messages() const noexcept {
    return Messages_.size();
  }
  [[nodiscard]] std::size_t keys() const noexcept { return Callers_.size(); }
  [[nodiscard]] std::size_t entries() const noexcept { return Nodes_.size(); }
  /// Returns the number of keys that upstreams ran more than once.
  [[nodiscard]] int doubleRuns() const;
  /// Returns the number of keys whose caller received not_run although an
  /// upstream ran them.
  [[nodiscard]] int falseNotRun() const;
  [[nodiscard]] int runs() const;
  /// Returns the number of callers that received Result.
  [[nodiscard]] int callersWith(request::Outcome Result) const;

private:
  struct Node;
  struct Message {
    std::size_t Receiver_;
    bool ToUpstream_ = false;
    std::function<void()> OnDelivered_;
    /// May be empty.
    std::function<void()> OnDropped_;
  };
  struct Caller {
    request::Submission Submission_;
    int Runs_ = 0;
    /// How often the caller received each outcome.
    std::map<request::Outcome, int> Outcomes_;
  };

  void submit(std::size_t Entry, std::size_t Key);
  /// Executes the actions that the dispatcher of Entry has decided.
  void runActions(std::size_t Entry);
  void replicate(std::size_t Entry, const request::Replicate &Task);
  void announce(std::size_t Entry, const request::Announce &Task);
  void send(std::size_t Entry, const request::Send &Task);
  [[nodiscard]] std::size_t indexOf(const EntryName &Name) const;
  [[nodiscard]] std::unique_ptr<Node> makeNode(std::size_t Entry);

  std::shared_ptr<ManualClock> Clock_ = std::make_shared<ManualClock>();
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::vector<Message> Messages_;
  /// One caller for each key.
  std::vector<Caller> Callers_;
  std::uint64_t NextIncarnation_ = 1;
};

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_REQUEST_CLUSTER_HPP
