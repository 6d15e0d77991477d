#ifndef MEDLARMOOR_REQUEST_ACTION_HPP
#define MEDLARMOOR_REQUEST_ACTION_HPP

#include <medlarmoor/config/upstream.hpp>
#include <medlarmoor/core/strong.hpp>
#include <medlarmoor/membership/member.hpp>
#include <medlarmoor/request/ledger_copy.hpp>
#include <medlarmoor/request/verdict.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarmoor::request {

/// Names one submission inside of its dispatcher.
using Ticket = Strong<std::uint64_t, struct TicketTag>;
/// Names one attempt at one upstream, unique over all entries and runs.
using AttemptId = Strong<std::string, struct AttemptIdTag>;

/// Send the request of Ticket_ to the upstream, then report answered().
struct Send {
  Ticket Ticket_;
  config::Upstream To_;
  AttemptId Attempt_;
  TimePoint Deadline_;
  /// Use a connection of its own, not one from the pool.
  bool Fresh_ = false;
};

/// Bring Copy_ to Needed_ of the entries To_, the first in line first, then
/// report replicated().
struct Replicate {
  Ticket Ticket_;
  LedgerCopy Copy_;
  std::vector<membership::Member> To_;
  std::size_t Needed_ = 0;
  TimePoint Deadline_;
};

/// Bring Copy_ to the entries To_ without waiting for them.
struct Announce {
  LedgerCopy Copy_;
  std::vector<membership::Member> To_;
};

/// Tell the caller of Ticket_ what is known; the ticket ends.
struct Resolve {
  Ticket Ticket_;
  Verdict Verdict_;
};

/// Ask the upstream to cancel the attempt; with GiveUp_ do not wait for its
/// answer either.
struct Cancel {
  Ticket Ticket_;
  config::Upstream At_;
  AttemptId Attempt_;
  bool GiveUp_ = false;
};

/// What a dispatcher wants done.
using Action = std::variant<Send, Replicate, Announce, Resolve, Cancel>;

/// How replication went.
enum class ReplicaEnd : unsigned char {
  /// Enough entries hold the copy.
  Enough,
  /// An entry holds the key for another dispatcher.
  Held,
  /// Too few entries took it in time.
  TooFew,
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_ACTION_HPP
