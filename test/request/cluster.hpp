#ifndef MEDLARMOOR_TEST_REQUEST_CLUSTER_HPP
#define MEDLARMOOR_TEST_REQUEST_CLUSTER_HPP

#include <medlarmoor/request/dispatcher.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarmoor::test {

/// Several entries as decision objects over one manual clock, with messages
/// that wait until the test delivers or drops them. It counts what upstreams
/// ran and what callers were told.
class Cluster {
public:
  explicit Cluster(std::size_t Entries);
  ~Cluster();

  /// A caller mints a key and submits it to entry At.
  void submitNew(std::size_t At);
  /// The caller of an earlier key submits it again.
  void submitAgain(std::size_t Key, std::size_t At);
  /// The caller of an earlier key cancels it.
  void cancel(std::size_t Key, std::size_t At);
  /// Delivers a waiting message; to a crashed or paused entry it is lost or
  /// waits on.
  void deliver(std::size_t Message);
  void drop(std::size_t Message);
  /// The entry loses all that it knows and starts again.
  void restart(std::size_t At);
  void pause(std::size_t At);
  void wake(std::size_t At);
  /// Entry At sees itself and those whose bit is set in Members.
  void setView(std::size_t At, std::uint32_t Members);
  void advance(Millis Step);
  /// Hands the service of entry At over to Next, as a message.
  void handOff(std::size_t At, std::size_t Next);

  [[nodiscard]] std::size_t messages() const noexcept {
    return Messages_.size();
  }
  [[nodiscard]] std::size_t keys() const noexcept { return Callers_.size(); }
  [[nodiscard]] std::size_t entries() const noexcept { return Nodes_.size(); }
  /// Keys that upstreams ran more than once.
  [[nodiscard]] int doubleRuns() const;
  /// Keys whose caller was told not_run though an upstream ran them.
  [[nodiscard]] int falseNotRun() const;
  [[nodiscard]] int runs() const;
  /// Callers that were told Of.
  [[nodiscard]] int callersWith(request::Outcome Of) const;

private:
  struct Node;
  struct Message {
    std::size_t To_;
    bool ToUpstream_ = false;
    std::function<void()> Arrives_;
    std::function<void()> Lost_;
  };
  struct Caller {
    request::Submission Asked_;
    int Runs_ = 0;
    std::map<request::Outcome, int> Told_;
  };

  void submit(std::size_t At, std::size_t Key);
  void pump(std::size_t At);
  void replicate(std::size_t At, const request::Replicate &Of);
  void announce(std::size_t At, const request::Announce &Of);
  void send(std::size_t At, const request::Send &Of);
  [[nodiscard]] std::size_t indexOf(const EntryName &Name) const;
  [[nodiscard]] std::unique_ptr<Node> makeNode(std::size_t At);

  std::shared_ptr<ManualClock> Clock_ = std::make_shared<ManualClock>();
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::vector<Message> Messages_;
  std::vector<Caller> Callers_;
  std::uint64_t Runs_ = 1;
};

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_REQUEST_CLUSTER_HPP
