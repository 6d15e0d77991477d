#include <medlarmoor/request/internal/peers.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis PeerTime{400};
constexpr Millis PeerSilence{100};
constexpr std::size_t CopiesPerCall = 256;

} // namespace

/// One copy on its way to as many entries as it needs.
struct Peers::Round {
  Round(asio::io_context &Io) : Timer_(Io) {}

  LedgerCopy Copy_;
  std::vector<membership::Member> To_;
  std::size_t Needed_ = 0;
  std::size_t Next_ = 0;
  std::size_t Taken_ = 0;
  std::size_t Open_ = 0;
  asio::steady_timer Timer_;
  std::function<void(ReplicaEnd)> Done_;

  void end(ReplicaEnd How) {
    if (!Done_)
      return;
    Timer_.cancel();
    std::exchange(Done_, nullptr)(How);
  }
};

Peers::Peers(asio::io_context &Io, ConnectionPool &Pool, std::uint16_t Port,
             Signer Sign)
    : Io_(Io), Pool_(Pool), Port_(Port), Sign_(std::move(Sign)) {}

void Peers::replicate(const Replicate &Asked, TimePoint Now,
                      std::function<void(ReplicaEnd)> Done) {
  auto Of = std::make_shared<Round>(Io_);
  Of->Copy_ = Asked.Copy_;
  Of->To_ = Asked.To_;
  Of->Needed_ = Asked.Needed_;
  Of->Done_ = std::move(Done);
  Of->Timer_.expires_after(Asked.Deadline_ - Now);
  Of->Timer_.async_wait([Of](Error Stopped) {
    if (!Stopped)
      Of->end(ReplicaEnd::TooFew);
  });
  for (std::size_t I = 0; I < Of->Needed_; ++I)
    ask(Of);
}

void Peers::ask(const std::shared_ptr<Round> &Of) {
  if (Of->Next_ == Of->To_.size()) {
    if (Of->Open_ + Of->Taken_ < Of->Needed_)
      Of->end(ReplicaEnd::TooFew);
    return;
  }
  ++Of->Open_;
  post(Of->To_[Of->Next_++],
       {Of->Copy_, [this, Of](std::optional<CopyAnswer> Answer) {
          onAnswer(Of, Answer);
        }});
}

void Peers::onAnswer(const std::shared_ptr<Round> &Of,
                     std::optional<CopyAnswer> Answer) {
  --Of->Open_;
  if (!Of->Done_)
    return;
  if (Answer == CopyAnswer::Held)
    return Of->end(ReplicaEnd::Held);
  if (Answer != CopyAnswer::Taken)
    return ask(Of);
  if (++Of->Taken_ >= Of->Needed_)
    Of->end(ReplicaEnd::Enough);
}

void Peers::announce(const Announce &Asked) {
  for (const membership::Member &Each : Asked.To_)
    post(Each, {Asked.Copy_, nullptr});
}

void Peers::post(const membership::Member &To, Item Each) {
  const Endpoint Where(To.Address_, Port_);
  std::shared_ptr<Lane> &Of = Lanes_[Where];
  if (!Of)
    Of = std::make_shared<Lane>(Lane{Where, {}, false});
  Of->Items_.push_back(std::move(Each));
  if (Of->Busy_)
    return;
  Of->Busy_ = true;
  asio::co_spawn(Io_, drain(Of), asio::detached);
}

Awaitable<void> Peers::drain(std::shared_ptr<Lane> Of) {
  while (!Of->Items_.empty()) {
    std::vector<Item> Batch;
    std::vector<LedgerCopy> Copies;
    while (!Of->Items_.empty() && Batch.size() < CopiesPerCall) {
      Copies.push_back(Of->Items_.front().Copy_);
      Batch.push_back(std::move(Of->Items_.front()));
      Of->Items_.pop_front();
    }
    const std::optional<std::string> Body =
        co_await send(Of->To_, "/internal/ledger", encode(Copies));
    const auto Answers = Body ? decodeAnswers(*Body) : std::nullopt;
    const bool Fits = Answers && Answers->size() == Batch.size();
    for (std::size_t I = 0; I < Batch.size(); ++I)
      if (Batch[I].Done_)
        Batch[I].Done_(Fits ? std::optional((*Answers)[I]) : std::nullopt);
  }
  Of->Busy_ = false;
}

Awaitable<std::optional<std::string>>
Peers::send(Endpoint To, const char *Target, std::string Body) {
  HttpMessage Message(http::verb::post, Target, 11);
  Message.set(http::field::host, To.text());
  Message.body() = std::move(Body);
  Message.prepare_payload();
  const auto Deadline = std::chrono::steady_clock::now() + PeerTime;
  ConnectionPtr Opened;
  Sign_(Message);
  CallResult Got =
      co_await call(Pool_, {To, Deadline, false, PeerSilence}, Message, Opened);
  if (Got.End_ == CallEnd::Failed) {
    // A message passes the guard against replay only once.
    Sign_(Message);
    Got = co_await call(Pool_, {To, Deadline, true, {}}, Message, Opened);
  }
  const bool Fine = Got.End_ == CallEnd::Answered && Got.Answer_->Whole_ &&
                    Got.Answer_->status() == 200;
  if (!Fine)
    co_return std::nullopt;
  co_return Got.Answer_->Head_;
}

void Peers::handOver(const membership::Member &To, const Handover &Whole,
                     std::function<void(bool)> Done) {
  const Endpoint Where(To.Address_, Port_);
  asio::co_spawn(
      Io_,
      [](Peers *Self, Endpoint At, std::string Body,
         std::function<void(bool)> Then) -> Awaitable<void> {
        const std::optional<std::string> Answer =
            co_await Self->send(At, "/internal/handover", std::move(Body));
        Then(Answer.has_value());
      }(this, Where, encode(Whole), std::move(Done)),
      asio::detached);
}

} // namespace medlarmoor::request::internal
