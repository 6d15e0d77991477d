#include <medlarmoor/config/status_writer.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace medlarmoor::config {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// Minimum time between two writes.
constexpr Millis BatchPeriod{2000};
/// An unchanged report is rewritten after this time, so that a reader can
/// distinguish an idle domain from one that is cut off.
constexpr Millis RefreshPeriod{5000};
/// Delay before the next call after a failed one.
constexpr Millis RetryPeriod{1000};
/// A gap between ticks from which on the process counts as having been paused.
constexpr Millis PauseGap{1000};

struct LeadershipGained {};
struct LeadershipLost {};
struct ReadStarted {};
struct ReadDone {};
struct WriteStarted {};
struct WriteDone {};
struct CallFailed {};

enum class Stage : unsigned char { Idle, Stale, Reading, Current, Writing };

/// A state that stores its stage in the state machine on entry.
template <Stage Entered> struct StageState : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event &, Machine &Owner) {
    Owner.Stage_ = Entered;
  }
};

/// The states in which a write is allowed, and the calls that must precede it.
struct WriterRules : msm::front::state_machine_def<WriterRules> {
  struct Idle : StageState<Stage::Idle> {};
  struct Stale : StageState<Stage::Stale> {};
  struct Reading : StageState<Stage::Reading> {};
  struct Current : StageState<Stage::Current> {};
  struct Writing : StageState<Stage::Writing> {};
  using initial_state = Idle;

  struct transition_table
      : boost::mpl::vector<Row<Idle, LeadershipGained, Stale, none, none>,
                           Row<Stale, ReadStarted, Reading, none, none>,
                           Row<Reading, ReadDone, Current, none, none>,
                           Row<Reading, CallFailed, Stale, none, none>,
                           Row<Current, WriteStarted, Writing, none, none>,
                           Row<Writing, WriteDone, Current, none, none>,
                           Row<Writing, CallFailed, Stale, none, none>,
                           Row<Stale, LeadershipLost, Idle, none, none>,
                           Row<Reading, LeadershipLost, Idle, none, none>,
                           Row<Current, LeadershipLost, Idle, none, none>,
                           Row<Writing, LeadershipLost, Idle, none, none>> {};

  /// Ignores results of calls that were still in flight when leadership was
  /// lost.
  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}

  Stage Stage_ = Stage::Idle;
};
using WriterMachine = msm::back::state_machine<WriterRules>;

} // namespace

struct StatusWriter::Impl {
  Impl(EntryName Self, Clock Time)
      : Self_(std::move(Self)), Clock_(std::move(Time)),
        LastTickAt_(Clock_.now()), RetryAt_(Clock_.now()) {
    Machine_.start();
  }

  [[nodiscard]] Stage stage() const { return Machine_.Stage_; }

  /// Sets the report to Versions and keeps the time of each unchanged version.
  /// Returns true if the report differs from the one written last.
  bool update(const std::map<EntryName, ConfigVersion> &Versions) {
    std::map<EntryName, EntryStatus> Next;
    for (const auto &[Name, Version] : Versions) {
      const auto Before = Report_.Entries_.find(Name);
      const bool Unchanged = Before != Report_.Entries_.end() &&
                             Before->second.Version_ == Version;
      Next[Name] = {Version,
                    Unchanged ? Before->second.Since_ : Clock_.wallNow()};
    }
    Report_.Entries_ = std::move(Next);
    return Report_.Entries_ != WrittenEntries_;
  }

  StatusAction write() {
    Machine_.process_event(WriteStarted());
    Report_.Writer_ = Self_;
    Report_.WrittenAt_ = Clock_.wallNow();
    WrittenEntries_ = Report_.Entries_;
    LastWriteAt_ = Clock_.now();
    return WriteStatus{Report_.text(), ObjectVersion_};
  }

  EntryName Self_;
  Clock Clock_;
  WriterMachine Machine_;
  StatusReport Report_;
  std::map<EntryName, EntryStatus> WrittenEntries_;
  std::uint64_t ObjectVersion_ = 0;
  TimePoint LastTickAt_;
  TimePoint RetryAt_;
  std::optional<TimePoint> LastWriteAt_;
};

StatusWriter::StatusWriter(EntryName Self, Clock Time)
    : Impl_(std::make_unique<Impl>(std::move(Self), std::move(Time))) {}

StatusWriter::~StatusWriter() = default;

std::optional<StatusAction>
StatusWriter::onTick(bool IsLeader,
                     const std::map<EntryName, ConfigVersion> &Versions) {
  Impl &State = *Impl_;
  const TimePoint Now = State.Clock_.now();
  const bool Paused = Now - State.LastTickAt_ >= PauseGap;
  State.LastTickAt_ = Now;
  if (!IsLeader || Paused)
    State.Machine_.process_event(LeadershipLost());
  if (!IsLeader) {
    State.Report_.Entries_.clear();
    return std::nullopt;
  }
  if (State.stage() == Stage::Idle)
    State.Machine_.process_event(LeadershipGained());
  if (State.stage() == Stage::Stale && Now >= State.RetryAt_) {
    State.Machine_.process_event(ReadStarted());
    return ReadStatus();
  }
  if (State.stage() != Stage::Current)
    return std::nullopt;
  const bool Changed = State.update(Versions);
  const Millis MinInterval = Changed ? BatchPeriod : RefreshPeriod;
  if (State.LastWriteAt_ && Now - *State.LastWriteAt_ < MinInterval)
    return std::nullopt;
  return State.write();
}

void StatusWriter::onReadEnd(std::uint64_t Version, const std::string &Text) {
  Impl &State = *Impl_;
  if (State.stage() != Stage::Reading)
    return;
  State.Machine_.process_event(ReadDone());
  State.ObjectVersion_ = Version;
  const std::optional<StatusReport> Stored = readStatusReport(Text);
  State.WrittenEntries_.clear();
  if (Stored)
    State.Report_.Entries_ = State.WrittenEntries_ = Stored->Entries_;
}

void StatusWriter::onStored(std::uint64_t Version) {
  if (Impl_->stage() != Stage::Writing)
    return;
  Impl_->Machine_.process_event(WriteDone());
  Impl_->ObjectVersion_ = Version;
}

void StatusWriter::onCallFailed() {
  Impl_->Machine_.process_event(CallFailed());
  Impl_->RetryAt_ = Impl_->Clock_.now() + RetryPeriod;
}

} // namespace medlarmoor::config
