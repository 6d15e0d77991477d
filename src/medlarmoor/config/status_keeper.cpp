#include <medlarmoor/config/status_keeper.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace medlarmoor::config {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// Shortest time between two writes.
constexpr Millis BatchPeriod{2000};
/// A report is written anew after this long also when nothing changed, so that
/// a reader can tell a quiet domain from one that is cut off.
constexpr Millis RefreshPeriod{5000};
constexpr Millis RetryPeriod{1000};
/// A gap between ticks that tells that the process stood still.
constexpr Millis PauseGap{1000};

struct Lead {};
struct Lapse {};
struct ReadBegun {};
struct ReadDone {};
struct WriteBegun {};
struct WriteDone {};
struct Lost {};

enum class Stage : unsigned char { Idle, Unsure, Reading, Sure, Writing };

/// A state that tells its machine which stage it is.
template <Stage Own> struct At : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event &, Machine &In) {
    In.Stage_ = Own;
  }
};

/// Whether a write may be tried now, and what has to come first.
struct LeaseRules : msm::front::state_machine_def<LeaseRules> {
  struct Idle : At<Stage::Idle> {};
  struct Unsure : At<Stage::Unsure> {};
  struct Reading : At<Stage::Reading> {};
  struct Sure : At<Stage::Sure> {};
  struct Writing : At<Stage::Writing> {};
  using initial_state = Idle;

  struct transition_table
      : boost::mpl::vector<Row<Idle, Lead, Unsure, none, none>,
                           Row<Unsure, ReadBegun, Reading, none, none>,
                           Row<Reading, ReadDone, Sure, none, none>,
                           Row<Reading, Lost, Unsure, none, none>,
                           Row<Sure, WriteBegun, Writing, none, none>,
                           Row<Writing, WriteDone, Sure, none, none>,
                           Row<Writing, Lost, Unsure, none, none>,
                           Row<Unsure, Lapse, Idle, none, none>,
                           Row<Reading, Lapse, Idle, none, none>,
                           Row<Sure, Lapse, Idle, none, none>,
                           Row<Writing, Lapse, Idle, none, none>> {};

  /// Results of calls that a lapse has overtaken change nothing.
  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}

  Stage Stage_ = Stage::Idle;
};
using LeaseMachine = msm::back::state_machine<LeaseRules>;

} // namespace

struct StatusKeeper::Impl {
  Impl(EntryName Self, Clock Time)
      : Self_(std::move(Self)), Clock_(std::move(Time)),
        LastTick_(Clock_.now()), MayCall_(Clock_.now()) {
    Rules_.start();
  }

  [[nodiscard]] Stage stage() const { return Rules_.Stage_; }

  /// Sets the report to Versions, keeping the time of each unchanged one; true
  /// when something differs from what was written last.
  bool update(const std::map<EntryName, ConfigVersion> &Versions) {
    std::map<EntryName, EntryStatus> Next;
    for (const auto &[Name, Version] : Versions) {
      const auto Before = Report_.Entries_.find(Name);
      const bool Same = Before != Report_.Entries_.end() &&
                        Before->second.Version_ == Version;
      Next[Name] = {Version, Same ? Before->second.Since_ : Clock_.wallNow()};
    }
    Report_.Entries_ = std::move(Next);
    return Report_.Entries_ != Written_;
  }

  StatusAction write() {
    Rules_.process_event(WriteBegun());
    Report_.Writer_ = Self_;
    Report_.Written_ = Clock_.wallNow();
    Written_ = Report_.Entries_;
    LastWrite_ = Clock_.now();
    return WriteStatus{Report_.text(), ObjectVersion_};
  }

  EntryName Self_;
  Clock Clock_;
  LeaseMachine Rules_;
  StatusReport Report_;
  std::map<EntryName, EntryStatus> Written_;
  std::uint64_t ObjectVersion_ = 0;
  TimePoint LastTick_;
  TimePoint MayCall_;
  std::optional<TimePoint> LastWrite_;
};

StatusKeeper::StatusKeeper(EntryName Self, Clock Time)
    : Impl_(std::make_unique<Impl>(std::move(Self), std::move(Time))) {}

StatusKeeper::~StatusKeeper() = default;

std::optional<StatusAction>
StatusKeeper::onTick(bool Leads,
                     const std::map<EntryName, ConfigVersion> &Versions) {
  Impl &In = *Impl_;
  const TimePoint Now = In.Clock_.now();
  const bool Paused = Now - In.LastTick_ >= PauseGap;
  In.LastTick_ = Now;
  if (!Leads || Paused)
    In.Rules_.process_event(Lapse());
  if (!Leads) {
    In.Report_.Entries_.clear();
    return std::nullopt;
  }
  if (In.stage() == Stage::Idle)
    In.Rules_.process_event(Lead());
  if (In.stage() == Stage::Unsure && Now >= In.MayCall_) {
    In.Rules_.process_event(ReadBegun());
    return ReadStatus();
  }
  if (In.stage() != Stage::Sure)
    return std::nullopt;
  const bool Changed = In.update(Versions);
  const Millis Wait = Changed ? BatchPeriod : RefreshPeriod;
  if (In.LastWrite_ && Now - *In.LastWrite_ < Wait)
    return std::nullopt;
  return In.write();
}

void StatusKeeper::onRead(std::uint64_t Version, const std::string &Text) {
  Impl &In = *Impl_;
  if (In.stage() != Stage::Reading)
    return;
  In.Rules_.process_event(ReadDone());
  In.ObjectVersion_ = Version;
  const std::optional<StatusReport> Read = readStatusReport(Text);
  In.Written_.clear();
  if (Read)
    In.Report_.Entries_ = In.Written_ = Read->Entries_;
}

void StatusKeeper::onStored(std::uint64_t Version) {
  if (Impl_->stage() != Stage::Writing)
    return;
  Impl_->Rules_.process_event(WriteDone());
  Impl_->ObjectVersion_ = Version;
}

void StatusKeeper::onLost() {
  Impl_->Rules_.process_event(Lost());
  Impl_->MayCall_ = Impl_->Clock_.now() + RetryPeriod;
}

} // namespace medlarmoor::config
