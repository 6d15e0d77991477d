#include <medlarmoor/config/publisher.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

constexpr Millis RetryDelay{200};
/// A larger change is left out of the manifest and fetched by its parts.
constexpr std::size_t LargestDelta = 64U * 1024U;

PublisherSteps step(PublisherAction Action, Millis After = Millis(0)) {
  PublisherSteps Out;
  Out.push_back({std::move(Action), After});
  return Out;
}

PublisherSteps finish(PublishResult Result) {
  return step(PublisherAction(std::move(Result)));
}

std::vector<PartId> idsOf(const IndexParts &Index) {
  std::vector<PartId> Out;
  for (const auto &[Id, Text] : Index)
    Out.push_back(Id);
  return Out;
}

} // namespace

Publisher::Publisher(Publication What, Clock Time, Millis Patience)
    : What_(std::move(What)), Clock_(std::move(Time)),
      Deadline_(Clock_.now() + Patience),
      Index_(makeIndex(config::idsOf(What_.Parts_))) {}

PublisherSteps Publisher::start() { return step(ReadPublished()); }

bool Publisher::late() const { return Clock_.now() >= Deadline_; }

PublisherSteps Publisher::giveUp(const std::string &Reason) const {
  if (Lost_)
    return finish(Uncertain{Reason});
  if (Conflicted_)
    return finish(Overtaken{});
  return finish(NotWritten{Reason});
}

PublisherSteps Publisher::readAgain(const std::string &Reason) {
  if (late())
    return giveUp(Reason);
  return step(ReadPublished(), RetryDelay);
}

PublisherSteps Publisher::onManifestUnread(const std::string &Reason) {
  return readAgain("the manifest could not be read: " + Reason);
}

PublisherSteps Publisher::onManifest(std::uint64_t ObjectVersion,
                                     const std::string &Text) {
  std::optional<Manifest> There;
  if (ObjectVersion != 0) {
    std::string Reason;
    There = readManifest(Text, Reason);
    if (!There)
      return giveUp("the manifest there is unreadable: " + Reason);
  }
  if (Sent_)
    return judge(ObjectVersion, There);
  Base_ = There.value_or(Manifest());
  BaseObject_ = ObjectVersion;
  if (What_.Seen_ && *What_.Seen_ != Base_.Version_)
    return finish(Overtaken{Base_.Version_});
  return compare();
}

/// Finds out what became of a manifest that was sent.
PublisherSteps Publisher::judge(std::uint64_t ObjectVersion,
                                const std::optional<Manifest> &There) {
  const ConfigVersion Newest = There ? There->Version_ : ConfigVersion(0);
  const ConfigVersion Own = next().Version_;
  if (There && There->Token_ == What_.Token_)
    return finish(Published{Own, Newest});
  if (ObjectVersion <= BaseObject_) {
    if (Conflicted_ || late())
      return readAgain("the platform answers old data");
    return storeManifest();
  }
  const std::vector<Accepted> None;
  const auto &Before = There ? There->Before_ : None;
  const bool Mine =
      std::any_of(Before.begin(), Before.end(), [this](const Accepted &Each) {
        return Each.Token_ == What_.Token_;
      });
  if (Mine)
    return finish(Published{Own, Newest});
  const bool Remembered =
      Newest == Own ||
      std::any_of(Before.begin(), Before.end(),
                  [Own](const Accepted &Each) { return Each.Version_ == Own; });
  if (Remembered || !Lost_)
    return finish(Overtaken{Newest});
  return finish(Uncertain{"too many versions were accepted meanwhile"});
}

/// Reads those index parts of the base that the new document replaces.
PublisherSteps Publisher::compare() {
  if (idsOf(Index_) == Base_.Index_)
    return finish(Unchanged{Base_.Version_});
  PublisherSteps Out;
  for (const PartId &Id : Base_.Index_) {
    if (Index_.count(Id) != 0)
      continue;
    IndexToRead_.insert(Id);
    Out.push_back({ReadIndexPart{Id}});
  }
  return Out.empty() ? storeParts() : Out;
}

PublisherSteps Publisher::onIndexPart(const PartId &Id,
                                      const std::optional<std::string> &Text) {
  std::string Reason;
  const auto Listed = Text ? readIndex(Id, *Text, Reason)
                           : std::optional<std::vector<PartId>>();
  if (!Listed && !late() && !Text)
    return step(ReadIndexPart{Id}, RetryDelay);
  if (Listed)
    OldParts_.insert(Listed->begin(), Listed->end());
  else
    OldKnown_ = false;
  IndexToRead_.erase(Id);
  return IndexToRead_.empty() ? storeParts() : PublisherSteps();
}

PublisherSteps Publisher::storeParts() {
  for (const auto &[Id, Text] : Index_) {
    if (std::binary_search(Base_.Index_.begin(), Base_.Index_.end(), Id))
      continue;
    ToStore_.emplace(Id, Text);
    std::string Reason;
    const std::vector<PartId> Listed = readIndex(Id, Text, Reason).value();
    for (const PartId &Part : Listed)
      if (OldParts_.count(Part) == 0) {
        NewParts_.insert(Part);
        ToStore_.emplace(Part, What_.Parts_.at(Part)->Text_);
      }
  }
  PublisherSteps Out;
  for (const auto &[Id, Text] : ToStore_)
    Out.push_back({StorePart{Id, Text}});
  return Out.empty() ? storeManifest() : Out;
}

PublisherSteps Publisher::onPartStored(const PartId &Id) {
  ToStore_.erase(Id);
  return ToStore_.empty() ? storeManifest() : PublisherSteps();
}

PublisherSteps Publisher::onPartLost(const PartId &Id,
                                     const std::string &Reason) {
  if (late())
    return giveUp("a part could not be stored: " + Reason);
  return step(StorePart{Id, ToStore_.at(Id)}, RetryDelay);
}

Manifest Publisher::next() const {
  Manifest Out;
  Out.Version_ = ConfigVersion(Base_.Version_.value() + 1);
  Out.Token_ = What_.Token_;
  Out.Index_ = idsOf(Index_);
  Out.Origin_ = What_.Origin_;
  if (BaseObject_ != 0) {
    Out.Before_ = Base_.Before_;
    Out.Before_.insert(Out.Before_.begin(), {Base_.Version_, Base_.Token_});
  }
  if (Out.Before_.size() > WritesRemembered)
    Out.Before_.resize(WritesRemembered);
  if (!OldKnown_)
    return Out;
  Delta Change{Base_.Version_, {}, {}};
  std::size_t Size = 0;
  for (const PartId &Id : NewParts_) {
    const PartPtr &Each = What_.Parts_.at(Id);
    Change.Added_.emplace(Id, Each);
    Size += Each->Text_.size();
  }
  for (const PartId &Id : OldParts_)
    if (What_.Parts_.count(Id) == 0)
      Change.Removed_.push_back(Id);
  if (Size <= LargestDelta)
    Out.Delta_ = std::move(Change);
  return Out;
}

PublisherSteps Publisher::storeManifest() {
  if (late())
    return giveUp("out of time");
  Sent_ = true;
  return step(StoreManifest{next().text(), BaseObject_});
}

PublisherSteps Publisher::onManifestStored() {
  const ConfigVersion Own = next().Version_;
  return finish(Published{Own, Own});
}

PublisherSteps Publisher::onManifestConflict() {
  Conflicted_ = true;
  return step(ReadPublished());
}

PublisherSteps Publisher::onManifestLost() {
  Lost_ = true;
  return readAgain("the answer to the write was lost");
}

PublisherSteps Publisher::onRefused(const std::string &Reason) {
  return giveUp("the platform refused: " + Reason);
}

} // namespace medlarmoor::config
