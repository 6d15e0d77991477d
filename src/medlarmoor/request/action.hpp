#ifndef MEDLARMOOR_REQUEST_ACTION_HPP
#define MEDLARMOOR_REQUEST_ACTION_HPP

#include <medlarmoor/config/upstream.hpp>
#include <medlarmoor/core/strong.hpp>
#include <medlarmoor/membership/member.hpp>
#include <medlarmoor/request/record_replica.hpp>
#include <medlarmoor/request/verdict.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarmoor::request {

/// Identifies one submission within its dispatcher.
using Ticket = Strong<std::uint64_t, struct TicketTag>;
/// Identifies one attempt at one upstream, unique across all entries and
/// incarnations.
using AttemptId = Strong<std::string, struct AttemptIdTag>;

/// Sends the request of Ticket_ to the upstream. Its end is reported with
/// Dispatcher::onAttemptEnd().
struct Send {
  Ticket Ticket_;
  config::Upstream Target_;
  AttemptId Attempt_;
  TimePoint Deadline_;
  /// Opens a new connection instead of using a pooled one.
  bool FreshConnection_ = false;
};

/// Stores Replica_ at NeededReplicas_ of the entries Targets_, in their order.
/// The result is reported with Dispatcher::onReplicationEnd().
struct Replicate {
  Ticket Ticket_;
  RecordReplica Replica_;
  std::vector<membership::Member> Targets_;
  std::size_t NeededReplicas_ = 0;
  TimePoint Deadline_;
};

/// Sends Replica_ to the entries Targets_ without waiting for their answers.
struct Announce {
  RecordReplica Replica_;
  std::vector<membership::Member> Targets_;
};

/// Reports the verdict to the caller of Ticket_ and ends the ticket.
struct Resolve {
  Ticket Ticket_;
  Verdict Verdict_;
};

/// Asks the upstream to cancel the attempt. If Abandon_ is set, the response of
/// the attempt is not awaited either.
struct Cancel {
  Ticket Ticket_;
  config::Upstream Target_;
  AttemptId Attempt_;
  bool Abandon_ = false;
};

/// An action that a dispatcher requests from its executor.
using Action = std::variant<Send, Replicate, Announce, Resolve, Cancel>;

/// The result of replicating one record.
enum class ReplicationResult : unsigned char {
  /// Enough entries store the replica.
  Replicated,
  /// An entry holds the key for another dispatcher or incarnation.
  HeldElsewhere,
  /// Too few entries stored the replica before the deadline.
  TooFewReplicas,
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_ACTION_HPP
