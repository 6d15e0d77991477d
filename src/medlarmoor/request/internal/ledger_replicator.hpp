#ifndef MEDLARMOOR_REQUEST_INTERNAL_LEDGER_REPLICATOR_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_LEDGER_REPLICATOR_HPP

#include <medlarmoor/membership/member.hpp>
#include <medlarmoor/request/action.hpp>
#include <medlarmoor/request/internal/exchange.hpp>
#include <medlarmoor/request/internal/ledger_codec.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace medlarmoor::request::internal {

/// Adds the sender's name and signature to a message to another entry.
using Signer = std::function<void(HttpMessage &)>;

/// Sends ledger records to other entries. At most one call with replicas is in
/// flight to each entry; replicas that are queued meanwhile share the next
/// call.
class LedgerReplicator {
public:
  /// Port is the internal port of all entries.
  LedgerReplicator(asio::io_context &Io, ConnectionPool &Pool,
                   std::uint16_t Port, Signer Sign);

  /// Sends the replica to Task.NeededReplicas_ of the entries Task.Targets_, in
  /// their order. The next entry is tried for each that does not accept it.
  /// Calls OnDone once, at Task.Deadline_ at the latest.
  void replicate(const Replicate &Task, TimePoint Now,
                 std::function<void(ReplicationResult)> OnDone);
  /// Sends the replica to all entries Task.Targets_ without waiting for their
  /// answers.
  void announce(const Announce &Task);
  /// Sends Handoff to Successor. Calls OnDone with true if it was accepted.
  void handOff(const membership::Member &Successor,
               const LedgerHandoff &Handoff, std::function<void(bool)> OnDone);

private:
  struct QueuedReplica {
    RecordReplica Replica_;
    /// Receives nothing if the call failed. May be empty.
    std::function<void(std::optional<ReplicaAnswer>)> OnAnswer_;
  };
  struct PeerQueue {
    Endpoint Remote_;
    std::deque<QueuedReplica> Queued_;
    /// A call to this peer is in flight.
    bool Sending_ = false;
  };
  struct Replication;

  void enqueue(const membership::Member &Peer, QueuedReplica Queued);
  /// Sends the replica to the next candidate. Fails the replication if too
  /// few candidates are left.
  void sendToNext(const std::shared_ptr<Replication> &Current);
  void onAnswer(const std::shared_ptr<Replication> &Current,
                std::optional<ReplicaAnswer> Answer);
  Awaitable<void> sendQueued(std::shared_ptr<PeerQueue> Queue);
  /// Returns the body of the answer, or nothing if the call failed.
  Awaitable<std::optional<std::string>>
  send(Endpoint Remote, const char *Target, std::string Body);

  asio::io_context &Io_;
  ConnectionPool &Pool_;
  std::uint16_t Port_;
  Signer Sign_;
  std::map<Endpoint, std::shared_ptr<PeerQueue>> Queues_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_LEDGER_REPLICATOR_HPP
