#include <harness/run_host.hpp>

#include <harness/json_http.hpp>
#include <harness/text.hpp>

#include <algorithm>

namespace medlarmoor::harness {

namespace {

namespace asio = boost::asio;

/// Requests that wait behind the slots at most.
constexpr std::size_t QueueLimit = 16;
constexpr int ColdFactor = 4;
/// How far past its deadline a late answer is sent.
constexpr Millis LateBy{200};
constexpr Millis LateWithoutDeadline{2000};

} // namespace

RunHost::RunHost(asio::io_context &Io, std::string Name, std::uint64_t Slots,
                 std::uint64_t Seed, const UpstreamFaults &Faults)
    : Io_(Io), Name_(std::move(Name)), Slots_(Slots), Random_(Seed),
      Faults_(Faults), ColdSince_(Clock_.now()) {}

void RunHost::onRun(const net::HttpRequest &Request,
                    RawHttpServer::Reply Answer) {
  if (Faults_.Shed_ || Queue_.size() >= QueueLimit) {
    ++Counters_.Shed_;
    return refuse(Answer, "shed",
                  Request.Headers_.find("Medlarmoor-Attempt").value_or(""));
  }
  const net::HttpHeaders &Headers = Request.Headers_;
  Job New{Headers.find("Idempotency-Key").value_or(""),
          Headers.find("Medlarmoor-Attempt").value_or(""),
          Headers.find("Medlarmoor-Class") == "once",
          Request.Body_,
          std::nullopt,
          std::move(Answer),
          asio::steady_timer(Io_),
          ++LastNumber_};
  if (const auto Left = toNumber(Headers.find("Medlarmoor-Deadline-Ms")))
    New.Deadline_ = Clock_.now() + Millis(*Left);
  Queue_.push_back(std::move(New));
  startNext();
}

void RunHost::startNext() {
  while (!Queue_.empty() && Running_.size() < Slots_) {
    const auto Which = Queue_.begin();
    if (Which->Deadline_ && *Which->Deadline_ <= Clock_.now()) {
      ++Counters_.Expired_;
      refuse(Which->Answer_, "expired", Which->Attempt_);
      Queue_.erase(Which);
      continue;
    }
    Running_.splice(Running_.end(), Queue_, Which);
    run(Which);
  }
}

void RunHost::run(Jobs::iterator Which) {
  Runs_.push_back({Which->Key_, Which->Attempt_, Which->Once_, Clock_.now()});
  Counters_.Running_ = Running_.size();
  Counters_.RunningMax_ = std::max(Counters_.RunningMax_, Counters_.Running_);
  Which->Timer_.expires_after(serviceTime());
  Which->Timer_.async_wait(
      [this, Number = Which->Number_](boost::system::error_code Failed) {
        if (!Failed)
          finish(Number);
      });
}

void RunHost::finish(std::uint64_t Number) {
  const auto Which =
      std::find_if(Running_.begin(), Running_.end(),
                   [&](const Job &Each) { return Each.Number_ == Number; });
  if (Which == Running_.end())
    return; // cancelled after its timer had fired
  Job Done = std::move(*Which);
  Running_.erase(Which);
  Counters_.Running_ = Running_.size();
  startNext();
  send(std::move(Done));
}

void RunHost::send(Job Done) {
  std::string Bytes = answerOf(Done);
  if (Faults_.Silent_) {
    Held_.push_back(std::move(Done.Answer_));
    return;
  }
  if (Faults_.Cut_)
    return Done.Answer_(Bytes.substr(0, Bytes.size() / 2));
  if (Faults_.Duplicate_)
    return Done.Answer_(Bytes + Bytes);
  if (Faults_.Cross_)
    return cross(std::move(Done.Answer_), std::move(Bytes));
  if (Faults_.Late_) {
    const Millis Left =
        Done.Deadline_
            ? std::chrono::duration_cast<Millis>(*Done.Deadline_ - Clock_.now())
            : LateWithoutDeadline;
    return later(Left + LateBy, std::move(Done.Answer_), std::move(Bytes));
  }
  Done.Answer_(std::move(Bytes));
}

void RunHost::cross(RawHttpServer::Reply Answer, std::string Bytes) {
  if (!Uncrossed_) {
    Uncrossed_.emplace(std::move(Answer), std::move(Bytes));
    return;
  }
  Answer(std::move(Uncrossed_->second));
  Uncrossed_->first(std::move(Bytes));
  Uncrossed_.reset();
}

void RunHost::later(Millis Delay, RawHttpServer::Reply Answer,
                    std::string Bytes) {
  const auto Timer = std::make_shared<asio::steady_timer>(Io_, Delay);
  Timer->async_wait(
      [Timer, Answer = std::move(Answer),
       Bytes = std::move(Bytes)](boost::system::error_code) { Answer(Bytes); });
}

void RunHost::refuse(const RawHttpServer::Reply &Answer, const char *Reason,
                     const std::string &Attempt) {
  net::HttpResponse Out = jsonResponse(503, {{"reason", Reason}});
  Out.Headers_.add("Medlarmoor-Not-Run", "1");
  Out.Headers_.add("Medlarmoor-Attempt", Attempt);
  Answer(renderHttp(Out));
}

std::string RunHost::answerOf(const Job &Done) const {
  net::HttpResponse Out =
      jsonResponse(200, {{"upstream", Name_},
                         {"key", Done.Key_},
                         {"attempt", Done.Attempt_},
                         {"echo", Done.Body_},
                         {"filler", std::string(Faults_.AnswerBytes_, 'f')},
                         {"fillerBytes", Faults_.AnswerBytes_}});
  Out.Headers_.add("Medlarmoor-Attempt", Done.Attempt_);
  return renderHttp(Out);
}

Micros RunHost::serviceTime() {
  std::exponential_distribution<double> Draw(1.0);
  double Mean =
      std::chrono::duration<double, std::micro>(Faults_.Service_).count() /
      Faults_.Speed_;
  if (Clock_.now() < ColdSince_ + Faults_.ColdStart_)
    Mean *= ColdFactor;
  return Micros(static_cast<std::int64_t>(Mean * Draw(Random_)));
}

void RunHost::onCancel(const std::string &Attempt) {
  const auto Same = [&](const Job &Each) { return Each.Attempt_ == Attempt; };
  const auto Waiting = std::find_if(Queue_.begin(), Queue_.end(), Same);
  if (Waiting != Queue_.end()) {
    ++Counters_.Cancelled_;
    refuse(Waiting->Answer_, "cancelled", Attempt);
    Queue_.erase(Waiting);
    return;
  }
  const auto Active = std::find_if(Running_.begin(), Running_.end(), Same);
  if (Active == Running_.end())
    return;
  ++Counters_.Cancelled_;
  Active->Answer_(
      renderHttp(jsonResponse(500, {{"reason", "cancelled while it ran"}})));
  Running_.erase(Active);
  Counters_.Running_ = Running_.size();
  startNext();
}

void RunHost::restart() {
  Queue_.clear();
  Running_.clear();
  Uncrossed_.reset();
  Held_.clear();
  Counters_.Running_ = 0;
  ColdSince_ = Clock_.now();
}

std::uint64_t RunHost::keysOverOne() const {
  std::map<std::string, std::uint64_t> Times;
  for (const RunRecord &Each : Runs_)
    ++Times[Each.Key_];
  return static_cast<std::uint64_t>(
      std::count_if(Times.begin(), Times.end(),
                    [](const auto &Each) { return Each.second > 1; }));
}

} // namespace medlarmoor::harness
