#include <bench/requests/queue_world.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace medlarmoor::bench {

namespace {

using namespace medlarmoor::request;
using upstream::AttemptResult;

/// One way between two entries.
constexpr Micros Hop{1000};
constexpr Millis TickTime{20};
constexpr Millis SampleTime{50};
constexpr Millis ReportTime{200};
constexpr double ColdFactor = 4.0;
const ServiceName Booking("booking");

std::vector<config::Upstream> documentOf(std::size_t Count) {
  std::vector<config::Upstream> Out(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Out[I].Name_ = UpstreamName(std::to_string(I));
  return Out;
}

std::size_t indexOf(const config::Upstream &Of) {
  return std::stoul(Of.Name_.value());
}

} // namespace

/// One request of one caller.
struct QueueWorld::Call {
  Submission Asked_;
  std::size_t Entry_ = 0;
  TimePoint Arrived_;
  std::optional<TimePoint> Began_;
  unsigned Calls_ = 0;
  unsigned Runs_ = 0;
  bool Over_ = false;
  bool ToldNotRun_ = false;
};

/// The decision objects of the entry that dispatches.
struct QueueWorld::Door {
  Door(const Clock &Time, const QueuePlan &Plan)
      : Known_(100'000, Time), Office_(Self_, Seconds(1), Time),
        Members_(Self_, Seconds(60), Time),
        Decides_({Self_, Incarnation(1)}, {}, Known_, Office_, Members_,
                 upstream::SlotPool(Plan.Pool_, Time, Random(Plan.Seed_ + 1)),
                 Time, Random(Plan.Seed_ + 2)) {
    const auto View = std::make_shared<membership::View>(
        Self_, std::vector<membership::Member>{{Self_, Ipv4(1)}});
    Members_.proceedWithoutList();
    Members_.onView(View);
    Office_.onView(View);
    std::ignore = Office_.decidesFrom(Booking);
    Decides_.slotPool().configure(
        documentOf(std::min(Plan.Upstreams_, Plan.JoinFrom_)));
  }

  EntryName Self_{"entry"};
  Ledger Known_;
  DispatcherRole Office_;
  Quorum Members_;
  Dispatcher Decides_;
  std::unordered_map<Ticket, CallPtr> Calls_;
};

QueueWorld::QueueWorld(QueuePlan Plan)
    : Plan_(std::move(Plan)), Random_(Plan_.Seed_),
      Upstreams_(Plan_.Upstreams_),
      Open_(Plan_.Entries_, std::vector<std::uint32_t>(Plan_.Upstreams_)),
      Door_(std::make_unique<Door>(Clock(Clock_), Plan_)) {
  if (Plan_.Faults_)
    Plan_.Faults_(Upstreams_, Start_);
  const auto Seconds = static_cast<std::size_t>(Plan_.Seconds_) + 2;
  Figures_.DoneBySecond_.resize(Seconds);
  Figures_.WaitBySecond_.resize(Seconds);
}

QueueWorld::~QueueWorld() = default;

double QueueWorld::second(TimePoint At) const {
  return std::chrono::duration<double>(At - Start_).count();
}

void QueueWorld::later(Nanos Delay, std::function<void()> Run) {
  Events_.push({Clock_->now() + Delay, Order_++, std::move(Run)});
}

QueueFigures QueueWorld::run() {
  later(Millis(500), [this] { arrive(); });
  if (Plan_.OthersLoad_ > 0)
    later(Millis(500), [this] { arriveElsewhere(); });
  later(SampleTime, [this] { sample(); });
  if (Plan_.JoinFrom_ < Plan_.Upstreams_)
    later(Millis(static_cast<std::int64_t>(Plan_.JoinSecond_ * 1000)), [this] {
      Door_->Decides_.slotPool().configure(documentOf(Plan_.Upstreams_));
      Plan_.JoinFrom_ = SIZE_MAX;
    });
  const TimePoint Last = Start_ + Millis(std::int64_t(Plan_.Seconds_ * 1000));
  while (!Events_.empty()) {
    const Event Next = Events_.top();
    Events_.pop();
    if (Next.At_ > Last + Plan_.Deadline_)
      break;
    Clock_->advance(Next.At_ - Clock_->now());
    Next.Run_();
  }
  return figures();
}

void QueueWorld::arrive() {
  const double Now = second(Clock_->now());
  if (Now > Plan_.Seconds_)
    return;
  auto Of = std::make_shared<Call>();
  Of->Arrived_ = Clock_->now();
  Of->Entry_ = Random_() % Plan_.Entries_;
  Of->Asked_.Service_ = Booking;
  Of->Asked_.Class_ = std::bernoulli_distribution(Plan_.OnceShare_)(Random_)
                          ? MethodClass::Once
                          : MethodClass::Idempotent;
  Of->Asked_.Minted_ = Clock_->wallNow();
  Of->Asked_.Key_ = IdempotencyKey(
      "d-" + std::to_string(Of->Asked_.Minted_.time_since_epoch().count()) +
      "-" + std::to_string(Calls_.size()));
  Of->Asked_.Deadline_ = Of->Arrived_ + Plan_.Deadline_;
  Calls_.push_back(Of);
  submit(Of);
  const double Slots =
      2.0 * static_cast<double>(std::min(Plan_.Upstreams_, Plan_.JoinFrom_));
  const double Rate = Plan_.Load_(Now) * Slots * 1000.0 /
                      static_cast<double>(Plan_.Service_.count());
  const double Gap = std::exponential_distribution<double>(Rate)(Random_);
  later(Nanos(static_cast<std::int64_t>(Gap * 1e9)), [this] { arrive(); });
}

void QueueWorld::arriveElsewhere() {
  if (second(Clock_->now()) > Plan_.Seconds_)
    return;
  const std::size_t At = Random_() % Plan_.OthersUpstreams_;
  runAt(At, std::make_shared<Call>(), [](AttemptResult, Nanos) {});
  const double Rate = Plan_.OthersLoad_ * 2.0 *
                      static_cast<double>(Plan_.OthersUpstreams_) * 1000.0 /
                      static_cast<double>(Plan_.Service_.count());
  const double Gap = std::exponential_distribution<double>(Rate)(Random_);
  later(Nanos(static_cast<std::int64_t>(Gap * 1e9)),
        [this] { arriveElsewhere(); });
}

void QueueWorld::submit(const CallPtr &Of) {
  ++Of->Calls_;
  if (Plan_.Balancing_ == Balancing::Medlarmoor) {
    const bool Forwarded = Of->Entry_ != 0;
    return later(Forwarded ? Nanos(Hop) : Nanos(0),
                 [this, Of] { dispatch(Of); });
  }
  if (Plan_.Balancing_ != Balancing::OneQueue)
    return choose(Of);
  OneQueue_.push_back(Of);
  startQueued();
}

void QueueWorld::startQueued() {
  for (std::size_t I = 0; I < Upstreams_.size() && !OneQueue_.empty(); ++I)
    if (Upstreams_[I].Running_ < Upstreams_[I].Slots_ && I < Plan_.JoinFrom_) {
      const CallPtr Of = OneQueue_.front();
      OneQueue_.pop_front();
      runAt(I, Of, [this, Of](AttemptResult End, Nanos) {
        end(Of,
            End == AttemptResult::Complete ? Outcome::Done : Outcome::Unknown);
        startQueued();
      });
    }
}

std::uint32_t QueueWorld::reported(const FakeUpstream &Of) const {
  if (Of.Lie_ >= 0)
    return static_cast<std::uint32_t>(Of.Lie_);
  const TimePoint At = Clock_->now() - Plan_.ReportAge_;
  std::uint32_t Out = 0;
  for (const auto &[When, Load] : Of.Reports_)
    if (When <= At)
      Out = Load;
  return Out;
}

void QueueWorld::choose(const CallPtr &Of) {
  const std::size_t Count = std::min(Plan_.Upstreams_, Plan_.JoinFrom_);
  std::size_t Best = Random_() % Count;
  const std::size_t Other = Random_() % Count;
  std::vector<std::uint32_t> &Own = Open_[Of->Entry_];
  if (Plan_.Balancing_ == Balancing::TwoChoicesReported &&
      reported(Upstreams_[Other]) < reported(Upstreams_[Best]))
    Best = Other;
  if (Plan_.Balancing_ == Balancing::TwoChoicesOwn && Own[Other] < Own[Best])
    Best = Other;
  ++Own[Best];
  runAt(Best, Of, [this, Of, Best](AttemptResult End, Nanos) {
    --Open_[Of->Entry_][Best];
    end(Of, End == AttemptResult::Complete ? Outcome::Done
            : End == AttemptResult::Shed   ? Outcome::NotRun
                                           : Outcome::Unknown);
  });
}

void QueueWorld::dispatch(const CallPtr &Of) {
  if (Of->Calls_ > 1)
    Of->Asked_.Try_ = Of->Calls_;
  const Ticket Mine = Door_->Decides_.submit(Of->Asked_);
  Door_->Calls_.emplace(Mine, Of);
  pump();
}

void QueueWorld::pump() {
  if (std::exchange(Pumping_, true))
    return;
  for (auto All = Door_->Decides_.takeActions(); !All.empty();
       All = Door_->Decides_.takeActions())
    for (const Action &Each : All) {
      if (const auto *Of = std::get_if<Send>(&Each))
        act(*Of);
      if (const auto *Of = std::get_if<Resolve>(&Each))
        act(*Of);
    }
  Pumping_ = false;
}

void QueueWorld::act(const Send &Of) {
  const CallPtr Mine = Door_->Calls_.at(Of.Ticket_);
  const bool Once = Mine->Asked_.Class_ == MethodClass::Once;
  // The slot is held while the copies go to two entries and come back.
  const Nanos Copies = Once ? 2 * Nanos(Hop) : Nanos(0);
  ++Figures_.Attempts_;
  later(Copies, [this, Of, Mine, Copies] {
    runAt(indexOf(Of.Target_), Mine,
          [this, Of, Copies](AttemptResult End, Nanos T) {
            Door_->Decides_.onAttemptEnd(Of.Ticket_, End, T + Copies);
            pump();
          });
  });
}

void QueueWorld::act(const Resolve &Of) {
  const auto At = Door_->Calls_.find(Of.Ticket_);
  if (At == Door_->Calls_.end())
    return;
  const CallPtr Mine = At->second;
  Door_->Calls_.erase(At);
  const bool Forwarded = Mine->Entry_ != 0;
  later(Forwarded ? Nanos(Hop) : Nanos(0),
        [this, Mine, How = Of.Verdict_.Outcome_] { end(Mine, How); });
}

void QueueWorld::runAt(std::size_t Upstream, const CallPtr &Of, Ended Done) {
  FakeUpstream &At = Upstreams_[Upstream];
  if (At.sheds(Clock_->now()))
    return Done(AttemptResult::Shed, Millis(1));
  if (At.Running_ < At.Slots_)
    return begin(Upstream, Of, std::move(Done));
  ++Figures_.OverSlots_;
  At.Queue_.push_back([this, Upstream, Of, Done = std::move(Done)] {
    begin(Upstream, Of, Done);
  });
}

void QueueWorld::begin(std::size_t Upstream, const CallPtr &Of, Ended Done) {
  FakeUpstream &At = Upstreams_[Upstream];
  ++At.Running_;
  ++At.Runs_;
  ++Of->Runs_;
  const TimePoint Began = Clock_->now();
  if (!Of->Began_)
    Of->Began_ = Began;
  double Mean = static_cast<double>(Plan_.Service_.count()) / At.Speed_;
  if (Began < At.ColdUntil_)
    Mean *= ColdFactor;
  double Time = std::exponential_distribution<double>(1.0 / Mean)(Random_);
  const bool Fails = std::bernoulli_distribution(At.FailShare_)(Random_);
  if (Fails)
    Time /= 10;
  At.BusySeconds_ += Time / 1000;
  later(Nanos(static_cast<std::int64_t>(Time * 1e6)),
        [this, Upstream, Began, Fails, Done = std::move(Done)] {
          FakeUpstream &Freed = Upstreams_[Upstream];
          --Freed.Running_;
          if (!Freed.Queue_.empty()) {
            const auto Next = std::move(Freed.Queue_.front());
            Freed.Queue_.pop_front();
            Next();
          }
          Done(Fails ? AttemptResult::Failed : AttemptResult::Complete,
               Clock_->now() - Began);
        });
}

void QueueWorld::end(const CallPtr &Of, Outcome How) {
  if (Of->Over_)
    return;
  const TimePoint Now = Clock_->now();
  const bool Again = How != Outcome::Done && Of->Calls_ < Plan_.Calls_ &&
                     Now < Of->Asked_.Deadline_;
  if (Again) {
    Of->Entry_ = Random_() % Plan_.Entries_;
    return submit(Of);
  }
  Of->Over_ = true;
  const bool Late = Now > Of->Asked_.Deadline_;
  Figures_.Late_ += Late ? 1 : 0;
  if (How == Outcome::Done && !Late) {
    ++Figures_.Done_;
    const auto At = static_cast<std::size_t>(second(Now));
    if (At < Figures_.DoneBySecond_.size())
      ++Figures_.DoneBySecond_[At];
  }
  Figures_.Unknown_ += How == Outcome::Unknown ? 1 : 0;
  Figures_.NotRun_ += How == Outcome::NotRun ? 1 : 0;
  Of->ToldNotRun_ = How == Outcome::NotRun;
}

void QueueWorld::sample() {
  for (FakeUpstream &Each : Upstreams_) {
    Each.Reports_.emplace_back(Clock_->now(), Each.load());
    if (Each.Reports_.size() > 40)
      Each.Reports_.pop_front();
  }
  const auto Round = (Clock_->now() - Start_) / SampleTime;
  if (Round % (ReportTime / SampleTime) == 0)
    for (std::size_t I = 0; I < Upstreams_.size(); ++I) {
      upstream::LoadReport Report;
      Report.Running_ = reported(Upstreams_[I]);
      Report.Age_ = Plan_.ReportAge_;
      if (Clock_->now() < Upstreams_[I].ColdUntil_)
        Report.State_ = upstream::ServingState::Warming;
      Door_->Decides_.slotPool().recordReport(UpstreamName(std::to_string(I)),
                                              Report);
    }
  Door_->Decides_.tick();
  Door_->Known_.expire();
  pump();
  later(TickTime, [this] {
    Door_->Decides_.tick();
    pump();
  });
  if (second(Clock_->now()) < Plan_.Seconds_ + 3)
    later(SampleTime, [this] { sample(); });
}

QueueFigures QueueWorld::figures() {
  std::vector<double> Waits;
  std::vector<double> CountBySecond(Figures_.WaitBySecond_.size());
  const double Service = static_cast<double>(Plan_.Service_.count()) / 1000;
  for (const CallPtr &Each : Calls_) {
    Figures_.DoubleRuns_ +=
        Each->Runs_ > 1 && Each->Asked_.Class_ == MethodClass::Once ? 1 : 0;
    Figures_.FalseNotRun_ += Each->ToldNotRun_ && Each->Runs_ > 0 ? 1 : 0;
    if (!Each->Began_)
      continue;
    const Nanos Waited = *Each->Began_ - Each->Arrived_;
    Waits.push_back(std::chrono::duration<double>(Waited).count() / Service);
    const auto At = static_cast<std::size_t>(second(Each->Arrived_));
    Figures_.WaitBySecond_[At] += Waits.back();
    ++CountBySecond[At];
  }
  for (std::size_t I = 0; I < CountBySecond.size(); ++I)
    if (CountBySecond[I] > 0)
      Figures_.WaitBySecond_[I] /= CountBySecond[I];
  Figures_.Offered_ = Calls_.size();
  std::sort(Waits.begin(), Waits.end());
  const double Sum = std::accumulate(Waits.begin(), Waits.end(), 0.0);
  Figures_.MeanWait_ = Sum / static_cast<double>(Waits.size());
  Figures_.P99Wait_ = Waits[Waits.size() * 99 / 100];
  double Most = 0;
  double All = 0;
  for (const FakeUpstream &Each : Upstreams_) {
    Most = std::max(Most, Each.BusySeconds_);
    All += Each.BusySeconds_;
  }
  Figures_.Imbalance_ = Most * static_cast<double>(Upstreams_.size()) / All;
  return Figures_;
}

} // namespace medlarmoor::bench
