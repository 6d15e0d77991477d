#include <medlarmoor/config/replica.hpp>

#include <algorithm>
#include <set>

namespace medlarmoor::config {

namespace {

/// Adoptions whose deltas can still be given to others.
constexpr std::size_t StepsKept = 256;

std::vector<PartId> without(const PartSet &All, const PartSet &Some) {
  std::vector<PartId> Out;
  for (const auto &[Id, Each] : All)
    if (Some.count(Id) == 0)
      Out.push_back(Id);
  return Out;
}

/// Both sets hold the same ids.
bool matches(const IndexParts &Index, const std::vector<PartId> &Ids) {
  if (Index.size() != Ids.size())
    return false;
  return std::all_of(Ids.begin(), Ids.end(), [&Index](const PartId &Id) {
    return Index.count(Id) != 0;
  });
}

std::string number(ConfigVersion Version) {
  return std::to_string(Version.value());
}

} // namespace

Replica::Replica(std::string Environment)
    : Environment_(std::move(Environment)) {}

ConfigVersion Replica::version() const noexcept { return Manifest_.Version_; }

bool Replica::isNews(const Manifest &Offered) {
  Reason_.clear();
  if (Offered.Version_ == Rejected_)
    Reason_ = "version " + number(Rejected_) + " was rejected";
  else if (Offered.Version_ < version())
    Reason_ = "version " + number(Offered.Version_) + " is older";
  else if (Offered.Version_ == version() && Offered.Token_ != Manifest_.Token_)
    Reason_ = "two documents have version " + number(version());
  else if (Offered.Version_ == version())
    Reason_ = "version " + number(version()) + " is in force";
  return Reason_.empty();
}

bool Replica::adopt(const Manifest &Offered) {
  if (!isNews(Offered))
    return false;
  if (!Offered.Delta_) {
    Reason_ = "no delta";
    return false;
  }
  const Delta &Change = *Offered.Delta_;
  const bool Whole = Change.From_ == ConfigVersion(0);
  if (!Whole && Change.From_ != version()) {
    Reason_ = "delta from version " + number(Change.From_);
    return false;
  }
  PartSet Parts = Whole ? PartSet() : Parts_;
  for (const PartId &Id : Change.Removed_)
    Parts.erase(Id);
  for (const auto &[Id, Each] : Change.Added_)
    Parts.insert_or_assign(Id, Each);
  return replace(Offered, std::move(Parts));
}

bool Replica::aim(const Manifest &Offered) {
  if (adopt(Offered))
    return true;
  if (!isNews(Offered))
    return false;
  if (Aim_ && Offered.Version_ <= Aim_->Version_) {
    Reason_ = "version " + number(Aim_->Version_) + " is on its way";
    return false;
  }
  Aim_ = Offered;
  Aim_->Delta_.reset();
  if (Offered.Delta_)
    Fetched_.insert(Offered.Delta_->Added_.begin(),
                    Offered.Delta_->Added_.end());
  findMissing();
  adoptWhenWhole();
  return true;
}

/// The part ids that the index parts of the version aimed at list; nothing
/// while an index part is missing.
std::optional<std::vector<PartId>> Replica::listed() const {
  std::vector<PartId> Out;
  std::string Reason;
  for (const PartId &Id : Aim_->Index_) {
    const auto Held = Index_.find(Id);
    const auto Got = FetchedIndex_.find(Id);
    if (Held == Index_.end() && Got == FetchedIndex_.end())
      return std::nullopt;
    const std::string &Text = Held != Index_.end() ? Held->second : Got->second;
    const auto Ids = readIndex(Id, Text, Reason);
    if (!Ids)
      return std::nullopt;
    Out.insert(Out.end(), Ids->begin(), Ids->end());
  }
  return Out;
}

/// Index parts come first; what they list is known once all are there.
void Replica::findMissing() {
  Missing_.clear();
  for (const PartId &Id : Aim_->Index_)
    if (Index_.count(Id) == 0 && FetchedIndex_.count(Id) == 0)
      Missing_.insert(Id);
  if (!Missing_.empty())
    return;
  const std::optional<std::vector<PartId>> Ids = listed();
  if (!Ids)
    return;
  for (const PartId &Id : *Ids)
    if (Parts_.count(Id) == 0 && Fetched_.count(Id) == 0)
      Missing_.insert(Id);
}

bool Replica::put(const PartId &Id, const std::string &Text) {
  Reason_.clear();
  if (!Aim_ || Missing_.count(Id) == 0)
    return false;
  const std::vector<PartId> &Index = Aim_->Index_;
  const bool IsIndex = std::find(Index.begin(), Index.end(), Id) != Index.end();
  if (IsIndex) {
    if (!readIndex(Id, Text, Reason_))
      return false;
    FetchedIndex_.emplace(Id, Text);
  } else {
    PartPtr Read = readPart(Id, Text, Reason_);
    if (!Read)
      return false;
    Fetched_.emplace(Id, std::move(Read));
  }
  Missing_.erase(Id);
  if (IsIndex && Missing_.empty())
    findMissing();
  return adoptWhenWhole();
}

bool Replica::adoptWhenWhole() {
  if (!Missing_.empty())
    return false;
  const auto Ids = listed();
  if (!Ids)
    return false;
  PartSet Parts;
  for (const PartId &Id : *Ids) {
    const auto Held = Parts_.find(Id);
    const auto Got = Fetched_.find(Id);
    if (Held == Parts_.end() && Got == Fetched_.end())
      return false;
    Parts.emplace(Id, Held != Parts_.end() ? Held->second : Got->second);
  }
  const Manifest Next = *Aim_;
  return replace(Next, std::move(Parts));
}

bool Replica::replace(const Manifest &Next, PartSet Parts) {
  IndexParts Index = makeIndex(idsOf(Parts));
  if (!matches(Index, Next.Index_)) {
    Reason_ = "parts do not make up version " + number(Next.Version_);
    return false;
  }
  std::optional<Environment> Joined = joinParts(Environment_, Parts, Reason_);
  if (!Joined) {
    Rejected_ = Next.Version_;
    if (Aim_ && Aim_->Version_ == Rejected_)
      dropAim();
    return false;
  }
  remember(Parts);
  Manifest_ = Next;
  Manifest_.Delta_.reset();
  Parts_ = std::move(Parts);
  Index_ = std::move(Index);
  InForce_ = std::make_shared<InForce>(
      InForce{Next.Version_, std::move(*Joined), digestOf(Parts_)});
  if (Aim_ && Aim_->Version_ <= version())
    dropAim();
  else if (Aim_)
    findMissing();
  return true;
}

void Replica::dropAim() {
  Aim_.reset();
  Missing_.clear();
  Fetched_.clear();
  FetchedIndex_.clear();
}

void Replica::remember(const PartSet &Next) {
  Steps_.push_back({version(), without(Next, Parts_), without(Parts_, Next)});
  if (Steps_.size() > StepsKept)
    Steps_.pop_front();
}

std::optional<Manifest> Replica::answer(ConfigVersion Have) const {
  if (!InForce_ || Have >= version())
    return std::nullopt;
  Manifest Out = Manifest_;
  Out.Delta_ = Delta{ConfigVersion(0), Parts_, {}};
  const auto First =
      std::find_if(Steps_.begin(), Steps_.end(),
                   [Have](const Step &Each) { return Each.From_ == Have; });
  if (Have == ConfigVersion(0) || First == Steps_.end())
    return Out;
  std::set<PartId> Added;
  std::set<PartId> Removed;
  for (auto At = First; At != Steps_.end(); ++At) {
    Added.insert(At->Added_.begin(), At->Added_.end());
    Removed.insert(At->Removed_.begin(), At->Removed_.end());
  }
  Out.Delta_ = Delta{Have, {}, {}};
  for (const PartId &Id : Added)
    if (const auto At = Parts_.find(Id); At != Parts_.end())
      Out.Delta_->Added_.emplace(Id, At->second);
  for (const PartId &Id : Removed)
    if (Parts_.count(Id) == 0)
      Out.Delta_->Removed_.push_back(Id);
  return Out;
}

} // namespace medlarmoor::config
