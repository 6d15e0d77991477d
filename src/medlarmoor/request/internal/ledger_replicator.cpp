#include <medlarmoor/request/internal/ledger_replicator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis CallTimeout{400};
/// Time in which a pooled connection must deliver the header of the answer.
constexpr Millis HeaderTimeout{100};
constexpr std::size_t MaxReplicasPerCall = 256;

} // namespace

/// The replication of one ledger record to as many entries as it needs.
struct LedgerReplicator::Replication {
  Replication(asio::io_context &Io) : Timer_(Io) {}

  RecordReplica Replica_;
  std::vector<membership::Member> Candidates_;
  std::size_t Needed_ = 0;
  /// Index of the next candidate to which nothing was sent yet.
  std::size_t Next_ = 0;
  std::size_t Accepted_ = 0;
  std::size_t InFlight_ = 0;
  asio::steady_timer Timer_;
  /// Empty once the replication has ended.
  std::function<void(ReplicationResult)> OnDone_;

  void complete(ReplicationResult End) {
    if (!OnDone_)
      return;
    Timer_.cancel();
    std::exchange(OnDone_, nullptr)(End);
  }
};

LedgerReplicator::LedgerReplicator(asio::io_context &Io, ConnectionPool &Pool,
                                   std::uint16_t Port, Signer Sign)
    : Io_(Io), Pool_(Pool), Port_(Port), Sign_(std::move(Sign)) {}

void LedgerReplicator::replicate(
    const Replicate &Task, TimePoint Now,
    std::function<void(ReplicationResult)> OnDone) {
  auto Current = std::make_shared<Replication>(Io_);
  Current->Replica_ = Task.Replica_;
  Current->Candidates_ = Task.Targets_;
  Current->Needed_ = Task.NeededReplicas_;
  Current->OnDone_ = std::move(OnDone);
  Current->Timer_.expires_after(Task.Deadline_ - Now);
  Current->Timer_.async_wait([Current](Error Cancelled) {
    if (!Cancelled)
      Current->complete(ReplicationResult::TooFewReplicas);
  });
  for (std::size_t I = 0; I < Current->Needed_; ++I)
    sendToNext(Current);
}

void LedgerReplicator::sendToNext(const std::shared_ptr<Replication> &Current) {
  if (Current->Next_ == Current->Candidates_.size()) {
    if (Current->InFlight_ + Current->Accepted_ < Current->Needed_)
      Current->complete(ReplicationResult::TooFewReplicas);
    return;
  }
  ++Current->InFlight_;
  enqueue(
      Current->Candidates_[Current->Next_++],
      {Current->Replica_, [this, Current](std::optional<ReplicaAnswer> Answer) {
         onAnswer(Current, Answer);
       }});
}

void LedgerReplicator::onAnswer(const std::shared_ptr<Replication> &Current,
                                std::optional<ReplicaAnswer> Answer) {
  --Current->InFlight_;
  if (!Current->OnDone_)
    return;
  if (Answer == ReplicaAnswer::HeldElsewhere)
    return Current->complete(ReplicationResult::HeldElsewhere);
  if (Answer != ReplicaAnswer::Stored)
    return sendToNext(Current);
  if (++Current->Accepted_ >= Current->Needed_)
    Current->complete(ReplicationResult::Replicated);
}

void LedgerReplicator::announce(const Announce &Task) {
  for (const membership::Member &Peer : Task.Targets_)
    enqueue(Peer, {Task.Replica_, nullptr});
}

void LedgerReplicator::enqueue(const membership::Member &Peer,
                               QueuedReplica Queued) {
  const Endpoint Remote(Peer.Address_, Port_);
  std::shared_ptr<PeerQueue> &Queue = Queues_[Remote];
  if (!Queue)
    Queue = std::make_shared<PeerQueue>(PeerQueue{Remote, {}, false});
  Queue->Queued_.push_back(std::move(Queued));
  if (Queue->Sending_)
    return;
  Queue->Sending_ = true;
  asio::co_spawn(Io_, sendQueued(Queue), asio::detached);
}

Awaitable<void> LedgerReplicator::sendQueued(std::shared_ptr<PeerQueue> Queue) {
  while (!Queue->Queued_.empty()) {
    std::vector<QueuedReplica> Batch;
    std::vector<RecordReplica> Replicas;
    while (!Queue->Queued_.empty() && Batch.size() < MaxReplicasPerCall) {
      Replicas.push_back(Queue->Queued_.front().Replica_);
      Batch.push_back(std::move(Queue->Queued_.front()));
      Queue->Queued_.pop_front();
    }
    const std::optional<std::string> Body =
        co_await send(Queue->Remote_, "/internal/ledger", encode(Replicas));
    const auto Answers = Body ? decodeAnswers(*Body) : std::nullopt;
    const bool Matches = Answers && Answers->size() == Batch.size();
    for (std::size_t I = 0; I < Batch.size(); ++I)
      if (Batch[I].OnAnswer_)
        Batch[I].OnAnswer_(Matches ? std::optional((*Answers)[I])
                                   : std::nullopt);
  }
  Queue->Sending_ = false;
}

Awaitable<std::optional<std::string>>
LedgerReplicator::send(Endpoint Remote, const char *Target, std::string Body) {
  HttpMessage Message(http::verb::post, Target, 11);
  Message.set(http::field::host, Remote.text());
  Message.body() = std::move(Body);
  Message.prepare_payload();
  const auto Deadline = std::chrono::steady_clock::now() + CallTimeout;
  ConnectionPtr InUse;
  Sign_(Message);
  CallResult Result = co_await call(
      Pool_, {Remote, Deadline, false, HeaderTimeout}, Message, InUse);
  if (Result.End_ == CallEnd::Failed) {
    // The replay guard of the receiver accepts each signature only once.
    Sign_(Message);
    Result = co_await call(Pool_, {Remote, Deadline, true, {}}, Message, InUse);
  }
  const bool Succeeded = Result.End_ == CallEnd::Answered &&
                         Result.Answer_->Complete_ &&
                         Result.Answer_->status() == 200;
  if (!Succeeded)
    co_return std::nullopt;
  co_return Result.Answer_->BodyPrefix_;
}

void LedgerReplicator::handOff(const membership::Member &Successor,
                               const LedgerHandoff &Handoff,
                               std::function<void(bool)> OnDone) {
  const Endpoint Remote(Successor.Address_, Port_);
  asio::co_spawn(
      Io_,
      [](LedgerReplicator *Self, Endpoint Receiver, std::string Body,
         std::function<void(bool)> Notify) -> Awaitable<void> {
        const std::optional<std::string> Answer = co_await Self->send(
            Receiver, "/internal/handover", std::move(Body));
        Notify(Answer.has_value());
      }(this, Remote, encode(Handoff), std::move(OnDone)),
      asio::detached);
}

} // namespace medlarmoor::request::internal
