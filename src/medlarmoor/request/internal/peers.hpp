#ifndef MEDLARMOOR_REQUEST_INTERNAL_PEERS_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_PEERS_HPP

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

/// Adds to a message what shows its receiver who sent it.
using Signer = std::function<void(HttpMessage &)>;

/// Brings ledger entries to other entries: one call to each at a time, which
/// carries all that waits for it.
class Peers {
public:
  Peers(asio::io_context &Io, ConnectionPool &Pool, std::uint16_t Port,
        Signer Sign);

  /// Brings the copy to as many entries as needed; those further down the line
  /// stand in for those that do not take it. Done gets how it ended, once.
  void replicate(const Replicate &Asked, TimePoint Now,
                 std::function<void(ReplicaEnd)> Done);
  void announce(const Announce &Asked);
  /// Gives Whole to To; Done gets whether it was taken.
  void handOver(const membership::Member &To, const Handover &Whole,
                std::function<void(bool)> Done);

private:
  struct Item {
    LedgerCopy Copy_;
    std::function<void(std::optional<CopyAnswer>)> Done_;
  };
  struct Lane {
    Endpoint To_;
    std::deque<Item> Items_;
    bool Busy_ = false;
  };
  struct Round;

  void post(const membership::Member &To, Item Each);
  void ask(const std::shared_ptr<Round> &Of);
  void onAnswer(const std::shared_ptr<Round> &Of,
                std::optional<CopyAnswer> Answer);
  Awaitable<void> drain(std::shared_ptr<Lane> Of);
  Awaitable<std::optional<std::string>> send(Endpoint To, const char *Target,
                                             std::string Body);

  asio::io_context &Io_;
  ConnectionPool &Pool_;
  std::uint16_t Port_;
  Signer Sign_;
  std::map<Endpoint, std::shared_ptr<Lane>> Lanes_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_PEERS_HPP
