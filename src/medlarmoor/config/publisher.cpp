#include <medlarmoor/config/publisher.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

constexpr Millis RetryDelay{200};
/// A larger change is left out of the manifest; readers then fetch its parts.
constexpr std::size_t MaxDeltaBytes = 64U * 1024U;
/// How many versions are skipped for each restore of the platform. More than it
/// can have lost.
constexpr std::uint64_t VersionsPerRestore = 1'000'000;

PublisherSteps step(PublisherAction Action, Millis After = Millis(0)) {
  PublisherSteps Steps;
  Steps.push_back({std::move(Action), After});
  return Steps;
}

PublisherSteps finish(PublishResult Result) {
  return step(PublisherAction(std::move(Result)));
}

std::vector<PartId> idsOf(const IndexParts &Index) {
  std::vector<PartId> Ids;
  for (const auto &[Id, Text] : Index)
    Ids.push_back(Id);
  return Ids;
}

} // namespace

Publisher::Publisher(Publication Document, Clock Time, Millis Timeout)
    : Document_(std::move(Document)), Clock_(std::move(Time)),
      Deadline_(Clock_.now() + Timeout),
      Index_(makeIndex(config::idsOf(Document_.Parts_))) {}

PublisherSteps Publisher::start() { return step(ReadCurrentManifest()); }

PublisherSteps Publisher::onEpoch(StoreEpoch Epoch) {
  if (!Epoch_ || Epoch == *Epoch_) {
    Epoch_ = Epoch;
    return {};
  }
  const std::string Reason = "the platform was restored from an older copy";
  return ManifestSent_ ? finish(Uncertain{Reason}) : finish(NotWritten{Reason});
}

bool Publisher::isBaseRestored() const {
  return Epoch_ && Base_.Epoch_ && *Epoch_ > *Base_.Epoch_;
}

bool Publisher::isPastDeadline() const { return Clock_.now() >= Deadline_; }

PublisherSteps Publisher::giveUp(const std::string &Reason) const {
  if (AnswerLost_)
    return finish(Uncertain{Reason});
  if (ConflictSeen_)
    return finish(VersionConflict{});
  return finish(NotWritten{Reason});
}

PublisherSteps Publisher::retryRead(const std::string &Reason) {
  if (isPastDeadline())
    return giveUp(Reason);
  return step(ReadCurrentManifest(), RetryDelay);
}

PublisherSteps Publisher::onManifestReadFailed(const std::string &Reason) {
  return retryRead("the manifest could not be read: " + Reason);
}

PublisherSteps Publisher::onManifest(std::uint64_t ObjectVersion,
                                     const std::string &Text) {
  std::optional<Manifest> Current;
  if (ObjectVersion != 0) {
    std::string Reason;
    Current = readManifest(Text, Reason);
    if (!Current)
      return giveUp("the current manifest is invalid: " + Reason);
  }
  if (ManifestSent_)
    return resolveSentWrite(ObjectVersion, Current);
  Base_ = Current.value_or(Manifest());
  BaseObjectVersion_ = ObjectVersion;
  if (Document_.ExpectedVersion_ &&
      *Document_.ExpectedVersion_ != Base_.Version_)
    return finish(VersionConflict{Base_.Version_});
  return readReplacedIndex();
}

/// Determines from the current manifest whether the manifest that was sent took
/// effect.
PublisherSteps
Publisher::resolveSentWrite(std::uint64_t ObjectVersion,
                            const std::optional<Manifest> &Current) {
  const ConfigVersion Newest = Current ? Current->Version_ : ConfigVersion(0);
  const ConfigVersion Own = nextManifest().Version_;
  if (Current && Current->Token_ == Document_.Token_)
    return finish(Published{Own, Newest});
  if (ObjectVersion <= BaseObjectVersion_) {
    if (ConflictSeen_ || isPastDeadline())
      return retryRead("the platform returned an outdated manifest");
    return storeManifest();
  }
  const std::vector<AcceptedWrite> None;
  const auto &PreviousWrites = Current ? Current->PreviousWrites_ : None;
  const bool WasAccepted =
      std::any_of(PreviousWrites.begin(), PreviousWrites.end(),
                  [this](const AcceptedWrite &Write) {
                    return Write.Token_ == Document_.Token_;
                  });
  if (WasAccepted)
    return finish(Published{Own, Newest});
  const bool HistoryCoversOwn =
      Newest == Own || std::any_of(PreviousWrites.begin(), PreviousWrites.end(),
                                   [Own](const AcceptedWrite &Write) {
                                     return Write.Version_ == Own;
                                   });
  if (HistoryCoversOwn || !AnswerLost_)
    return finish(VersionConflict{Newest});
  return finish(Uncertain{"too many versions were accepted since to determine "
                          "whether this one was"});
}

/// Reads the index parts of the base that the new document replaces.
PublisherSteps Publisher::readReplacedIndex() {
  if (idsOf(Index_) == Base_.Index_ && !isBaseRestored())
    return finish(Unchanged{Base_.Version_});
  PublisherSteps Steps;
  for (const PartId &Id : Base_.Index_) {
    if (Index_.count(Id) != 0)
      continue;
    IndexPartsToRead_.insert(Id);
    Steps.push_back({ReadIndexPart{Id}});
  }
  return Steps.empty() ? storeParts() : Steps;
}

PublisherSteps Publisher::onIndexPart(const PartId &Id,
                                      const std::optional<std::string> &Text) {
  std::string Reason;
  const auto Listed = Text ? readIndex(Id, *Text, Reason)
                           : std::optional<std::vector<PartId>>();
  if (!Listed && !isPastDeadline() && !Text)
    return step(ReadIndexPart{Id}, RetryDelay);
  if (Listed)
    BaseParts_.insert(Listed->begin(), Listed->end());
  else
    BasePartsKnown_ = false;
  IndexPartsToRead_.erase(Id);
  return IndexPartsToRead_.empty() ? storeParts() : PublisherSteps();
}

PublisherSteps Publisher::storeParts() {
  for (const auto &[Id, Text] : Index_) {
    if (std::binary_search(Base_.Index_.begin(), Base_.Index_.end(), Id))
      continue;
    PartsToStore_.emplace(Id, Text);
    std::string Reason;
    const std::vector<PartId> Listed = readIndex(Id, Text, Reason).value();
    for (const PartId &Part : Listed)
      if (BaseParts_.count(Part) == 0) {
        AddedParts_.insert(Part);
        PartsToStore_.emplace(Part, Document_.Parts_.at(Part)->Text_);
      }
  }
  PublisherSteps Steps;
  for (const auto &[Id, Text] : PartsToStore_)
    Steps.push_back({StorePart{Id, Text}});
  return Steps.empty() ? storeManifest() : Steps;
}

PublisherSteps Publisher::onPartStored(const PartId &Id) {
  PartsToStore_.erase(Id);
  return PartsToStore_.empty() ? storeManifest() : PublisherSteps();
}

PublisherSteps Publisher::onPartUncertain(const PartId &Id,
                                          const std::string &Reason) {
  if (isPastDeadline())
    return giveUp("storage of part " + Id.value() +
                  " was not confirmed: " + Reason);
  return step(StorePart{Id, PartsToStore_.at(Id)}, RetryDelay);
}

Manifest Publisher::nextManifest() const {
  Manifest Next;
  Next.Version_ = ConfigVersion(Base_.Version_.value() + 1);
  if (isBaseRestored())
    Next.Version_ = ConfigVersion(
        Next.Version_.value() +
        VersionsPerRestore * (Epoch_->value() - Base_.Epoch_->value()));
  Next.Epoch_ = Epoch_;
  Next.Token_ = Document_.Token_;
  Next.Index_ = idsOf(Index_);
  Next.Origin_ = Document_.Origin_;
  if (BaseObjectVersion_ != 0) {
    Next.PreviousWrites_ = Base_.PreviousWrites_;
    Next.PreviousWrites_.insert(Next.PreviousWrites_.begin(),
                                {Base_.Version_, Base_.Token_});
  }
  if (Next.PreviousWrites_.size() > MaxPreviousWrites)
    Next.PreviousWrites_.resize(MaxPreviousWrites);
  if (!BasePartsKnown_)
    return Next;
  Delta Changes{Base_.Version_, {}, {}};
  std::size_t AddedBytes = 0;
  for (const PartId &Id : AddedParts_) {
    const PartPtr &Part = Document_.Parts_.at(Id);
    Changes.Added_.emplace(Id, Part);
    AddedBytes += Part->Text_.size();
  }
  for (const PartId &Id : BaseParts_)
    if (Document_.Parts_.count(Id) == 0)
      Changes.Removed_.push_back(Id);
  if (AddedBytes <= MaxDeltaBytes)
    Next.Delta_ = std::move(Changes);
  return Next;
}

PublisherSteps Publisher::storeManifest() {
  if (isPastDeadline())
    return giveUp("the deadline for the write has passed");
  ManifestSent_ = true;
  return step(StoreManifest{nextManifest().text(), BaseObjectVersion_});
}

PublisherSteps Publisher::onManifestStored() {
  const ConfigVersion Own = nextManifest().Version_;
  return finish(Published{Own, Own});
}

PublisherSteps Publisher::onManifestConflict() {
  ConflictSeen_ = true;
  return step(ReadCurrentManifest());
}

PublisherSteps Publisher::onManifestUncertain() {
  AnswerLost_ = true;
  return retryRead("the answer to the write of the manifest was lost");
}

PublisherSteps Publisher::onRefused(const std::string &Reason) {
  return giveUp("the platform rejected the write: " + Reason);
}

} // namespace medlarmoor::config
