#ifndef MEDLARMOOR_REQUEST_DISPATCHER_HPP
#define MEDLARMOOR_REQUEST_DISPATCHER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/request/action.hpp>
#include <medlarmoor/request/dispatcher_limits.hpp>
#include <medlarmoor/request/dispatcher_role.hpp>
#include <medlarmoor/request/ledger.hpp>
#include <medlarmoor/request/quorum.hpp>
#include <medlarmoor/request/retry_budget.hpp>
#include <medlarmoor/request/submission.hpp>
#include <medlarmoor/upstream/slot_pool.hpp>

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarmoor::request {

/// Who the dispatcher is: the entry and its run.
struct DispatcherIdentity {
  EntryName Name_;
  Incarnation Run_;
};

/// Decides for one service what happens to each submission: whether it may
/// run at all, when, where, and what its caller is told. Events go in, actions
/// are collected with take(). A request of class once goes to an upstream only
/// after enough other entries hold a copy of its record, and never again once
/// it may have run.
class Dispatcher {
public:
  /// Known, Office and Members are shared by the dispatchers of one entry and
  /// must outlive them.
  Dispatcher(DispatcherIdentity Self, DispatcherLimits Limits, Ledger &Known,
             DispatcherRole &Office, Quorum &Members, upstream::SlotPool Slots,
             Clock Time, Random Source);

  /// Takes a submission; its ticket gets exactly one Resolve, at once where
  /// the answer is known already. A duplicate of an open request waits for it.
  [[nodiscard]] Ticket submit(const Submission &Asked);
  /// The caller of Ticket has left. Queued and idempotent work is given up; a
  /// request of class once that was sent runs on, and its ticket is resolved
  /// when it ends.
  void withdraw(Ticket Of);
  /// What is known about Key; asking changes nothing.
  [[nodiscard]] Verdict lookUp(const IdempotencyKey &Key);
  /// Like a submission that must not run: a key without a record is refused
  /// for good, a queued one is taken out, a running one is cancelled at its
  /// upstream when Stop is set. Service, key and deadline of Asked count.
  [[nodiscard]] Ticket refuse(const Submission &Asked, bool Stop);

  /// Replication of the record of Of has ended.
  void replicated(Ticket Of, ReplicaEnd End);
  /// The attempt of Of has ended after Elapsed; Answer is set where a whole
  /// answer is small enough to be kept.
  void answered(Ticket Of, upstream::AttemptEnd End, Nanos Elapsed,
                std::shared_ptr<const KeptAnswer> Answer = nullptr);
  /// Drops what has expired and starts what can start.
  void tick();
  /// This entry is no longer the dispatcher: what waits is moved on.
  void moveOn();

  /// The actions decided since the last call.
  [[nodiscard]] std::vector<Action> take();

  [[nodiscard]] upstream::SlotPool &slots() noexcept { return Slots_; }
  [[nodiscard]] std::size_t waiting() const noexcept { return Queue_.size(); }
  /// Submissions that wait or run.
  [[nodiscard]] std::size_t open() const noexcept { return Jobs_.size(); }
  void setLimits(const DispatcherLimits &Limits);

private:
  enum class Stage : unsigned char { Waiting, Replicating, Running, Refusing };
  struct Job {
    Submission Asked_;
    Stage Stage_ = Stage::Waiting;
    std::vector<Ticket> Callers_;
    /// The ticket that Send and Replicate carry, also when its caller left.
    Ticket Own_;
    /// The slot it holds while it replicates or runs.
    std::optional<config::Upstream> At_;
    AttemptId Attempt_;
    unsigned Attempts_ = 0;
    bool MayHaveRun_ = false;
    bool Replicated_ = false;
    bool CancelAsked_ = false;
    TimePoint NotBefore_;
    std::string Refusal_;
  };
  using Jobs = std::unordered_map<IdempotencyKey, Job>;

  std::optional<Verdict> judge(const Submission &Asked);
  std::optional<Verdict> judgeRecord(const Submission &Asked,
                                     const Record &Known) const;
  std::optional<std::string> reasonToShed(const Submission &Asked) const;
  bool mayHaveRunBefore(const Submission &Asked);
  bool holdBack(const Submission &Asked, Ticket Of);
  void reviewHeldBack();

  Ticket resolveNow(Verdict Of);
  Job &open(const Submission &Asked, Ticket Of);
  void admit(const Submission &Asked, Ticket Of);
  bool record(const Job &Of, KeyState State, const std::string &Reason,
              std::shared_ptr<const KeptAnswer> Answer = nullptr);

  void startNext();
  bool start(Job &Each);
  void send(Job &Each);
  void replicate(Job &Each, KeyState State, TimePoint Deadline);
  void requeue(Job &Each, Millis Pause);
  void freeSlot(Job &Each, upstream::AttemptEnd End, Nanos Elapsed);
  [[nodiscard]] bool mayRetry(const Job &Each, upstream::AttemptEnd End);

  void refuse(Job &Each, std::string Why);
  void finish(Job &Each, KeyState State, Verdict Of);
  void onRefusalStored(Job &Each, ReplicaEnd End);
  void dropExpired();
  Job *jobOf(Ticket Of);

  DispatcherIdentity Self_;
  DispatcherLimits Limits_;
  Ledger &Known_;
  DispatcherRole &Office_;
  Quorum &Members_;
  upstream::SlotPool Slots_;
  Clock Time_;
  Random Source_;
  RetryBudget Budget_;
  std::deque<IdempotencyKey> Queue_;
  Jobs Jobs_;
  /// Submissions that wait for a handover before they can be judged.
  std::vector<std::pair<Ticket, Submission>> HeldBack_;
  std::unordered_map<Ticket, IdempotencyKey> Tickets_;
  std::vector<Action> Actions_;
  std::uint64_t NextTicket_ = 1;
  std::uint64_t NextAttempt_ = 1;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_DISPATCHER_HPP
