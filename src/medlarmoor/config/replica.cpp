#include <medlarmoor/config/replica.hpp>

#include <algorithm>
#include <set>

namespace medlarmoor::config {

namespace {

/// Number of adoptions whose deltas can still be sent to other members.
constexpr std::size_t MaxAdoptions = 256;

std::vector<PartId> without(const PartSet &All, const PartSet &Some) {
  std::vector<PartId> PartIds;
  for (const auto &[Id, Part] : All)
    if (Some.count(Id) == 0)
      PartIds.push_back(Id);
  return PartIds;
}

/// Returns true if both hold the same ids.
bool matches(const IndexParts &Index, const std::vector<PartId> &Ids) {
  if (Index.size() != Ids.size())
    return false;
  return std::all_of(Ids.begin(), Ids.end(), [&Index](const PartId &Id) {
    return Index.count(Id) != 0;
  });
}

std::string toText(ConfigVersion Version) {
  return std::to_string(Version.value());
}

} // namespace

Replica::Replica(std::string Environment)
    : Environment_(std::move(Environment)) {}

ConfigVersion Replica::version() const noexcept { return Manifest_.Version_; }

bool Replica::checkNewer(const Manifest &Offered) {
  LastReason_.clear();
  if (Offered.Version_ == RejectedVersion_)
    LastReason_ = "version " + toText(RejectedVersion_) + " was rejected";
  else if (Offered.Version_ < version())
    LastReason_ = "version " + toText(Offered.Version_) + " is older";
  else if (Offered.Version_ == version() && Offered.Token_ != Manifest_.Token_)
    LastReason_ = "two different documents have version " + toText(version());
  else if (Offered.Version_ == version())
    LastReason_ = "version " + toText(version()) + " is in force";
  return LastReason_.empty();
}

bool Replica::adopt(const Manifest &Offered) {
  if (!checkNewer(Offered))
    return false;
  if (!Offered.Delta_) {
    LastReason_ = "the manifest has no delta";
    return false;
  }
  const Delta &Change = *Offered.Delta_;
  const bool IsSnapshot = Change.BaseVersion_ == ConfigVersion(0);
  if (!IsSnapshot && Change.BaseVersion_ != version()) {
    LastReason_ =
        "the delta starts from version " + toText(Change.BaseVersion_);
    return false;
  }
  PartSet Parts = IsSnapshot ? PartSet() : Parts_;
  for (const PartId &Id : Change.Removed_)
    Parts.erase(Id);
  for (const auto &[Id, Part] : Change.Added_)
    Parts.insert_or_assign(Id, Part);
  return replace(Offered, std::move(Parts));
}

bool Replica::setTarget(const Manifest &Offered) {
  if (adopt(Offered))
    return true;
  if (!checkNewer(Offered))
    return false;
  if (Target_ && Offered.Version_ <= Target_->Version_) {
    LastReason_ =
        "version " + toText(Target_->Version_) + " is already being fetched";
    return false;
  }
  Target_ = Offered;
  Target_->Delta_.reset();
  if (Offered.Delta_)
    FetchedParts_.insert(Offered.Delta_->Added_.begin(),
                         Offered.Delta_->Added_.end());
  updateMissing();
  adoptIfComplete();
  return true;
}

/// Returns the part ids that the index parts of the target version list, or
/// nullopt while an index part is missing.
std::optional<std::vector<PartId>> Replica::targetPartIds() const {
  std::vector<PartId> PartIds;
  std::string Reason;
  for (const PartId &Id : Target_->Index_) {
    const auto Held = Index_.find(Id);
    const auto Fetched = FetchedIndex_.find(Id);
    if (Held == Index_.end() && Fetched == FetchedIndex_.end())
      return std::nullopt;
    const std::string &Text =
        Held != Index_.end() ? Held->second : Fetched->second;
    const auto Ids = readIndex(Id, Text, Reason);
    if (!Ids)
      return std::nullopt;
    PartIds.insert(PartIds.end(), Ids->begin(), Ids->end());
  }
  return PartIds;
}

/// Lists the missing index parts first. The parts that they name are known only
/// once all index parts are present.
void Replica::updateMissing() {
  MissingParts_.clear();
  for (const PartId &Id : Target_->Index_)
    if (Index_.count(Id) == 0 && FetchedIndex_.count(Id) == 0)
      MissingParts_.insert(Id);
  if (!MissingParts_.empty())
    return;
  const std::optional<std::vector<PartId>> Ids = targetPartIds();
  if (!Ids)
    return;
  for (const PartId &Id : *Ids)
    if (Parts_.count(Id) == 0 && FetchedParts_.count(Id) == 0)
      MissingParts_.insert(Id);
}

bool Replica::addPart(const PartId &Id, const std::string &Text) {
  LastReason_.clear();
  if (!Target_ || MissingParts_.count(Id) == 0)
    return false;
  const std::vector<PartId> &Index = Target_->Index_;
  const bool IsIndex = std::find(Index.begin(), Index.end(), Id) != Index.end();
  if (IsIndex) {
    if (!readIndex(Id, Text, LastReason_))
      return false;
    FetchedIndex_.emplace(Id, Text);
  } else {
    PartPtr Read = readPart(Id, Text, LastReason_);
    if (!Read)
      return false;
    FetchedParts_.emplace(Id, std::move(Read));
  }
  MissingParts_.erase(Id);
  if (IsIndex && MissingParts_.empty())
    updateMissing();
  return adoptIfComplete();
}

bool Replica::adoptIfComplete() {
  if (!MissingParts_.empty())
    return false;
  const auto Ids = targetPartIds();
  if (!Ids)
    return false;
  PartSet Parts;
  for (const PartId &Id : *Ids) {
    const auto Held = Parts_.find(Id);
    const auto Fetched = FetchedParts_.find(Id);
    if (Held == Parts_.end() && Fetched == FetchedParts_.end())
      return false;
    Parts.emplace(Id, Held != Parts_.end() ? Held->second : Fetched->second);
  }
  const Manifest Next = *Target_;
  return replace(Next, std::move(Parts));
}

bool Replica::replace(const Manifest &Next, PartSet Parts) {
  IndexParts Index = makeIndex(idsOf(Parts));
  if (!matches(Index, Next.Index_)) {
    LastReason_ =
        "the parts do not match the index of version " + toText(Next.Version_);
    return false;
  }
  std::optional<Environment> Joined =
      joinParts(Environment_, Parts, LastReason_);
  if (!Joined) {
    RejectedVersion_ = Next.Version_;
    if (Target_ && Target_->Version_ == RejectedVersion_)
      dropTarget();
    return false;
  }
  recordAdoption(Parts);
  Manifest_ = Next;
  Manifest_.Delta_.reset();
  Parts_ = std::move(Parts);
  Index_ = std::move(Index);
  InForce_ = std::make_shared<ActiveConfig>(
      ActiveConfig{Next.Version_, std::move(*Joined), digestOf(Parts_)});
  if (Target_ && Target_->Version_ <= version())
    dropTarget();
  else if (Target_)
    updateMissing();
  return true;
}

void Replica::dropTarget() {
  Target_.reset();
  MissingParts_.clear();
  FetchedParts_.clear();
  FetchedIndex_.clear();
}

void Replica::recordAdoption(const PartSet &Next) {
  Adoptions_.push_back(
      {version(), without(Next, Parts_), without(Parts_, Next)});
  if (Adoptions_.size() > MaxAdoptions)
    Adoptions_.pop_front();
}

std::optional<Manifest>
Replica::manifestSince(ConfigVersion HeldVersion) const {
  if (!InForce_ || HeldVersion >= version())
    return std::nullopt;
  Manifest Answer = Manifest_;
  Answer.Delta_ = Delta{ConfigVersion(0), Parts_, {}};
  const auto First =
      std::find_if(Adoptions_.begin(), Adoptions_.end(),
                   [HeldVersion](const Adoption &Recorded) {
                     return Recorded.PreviousVersion_ == HeldVersion;
                   });
  if (HeldVersion == ConfigVersion(0) || First == Adoptions_.end())
    return Answer;
  std::set<PartId> Added;
  std::set<PartId> Removed;
  for (auto At = First; At != Adoptions_.end(); ++At) {
    Added.insert(At->Added_.begin(), At->Added_.end());
    Removed.insert(At->Removed_.begin(), At->Removed_.end());
  }
  Answer.Delta_ = Delta{HeldVersion, {}, {}};
  for (const PartId &Id : Added)
    if (const auto At = Parts_.find(Id); At != Parts_.end())
      Answer.Delta_->Added_.emplace(Id, At->second);
  for (const PartId &Id : Removed)
    if (Parts_.count(Id) == 0)
      Answer.Delta_->Removed_.push_back(Id);
  return Answer;
}

} // namespace medlarmoor::config
