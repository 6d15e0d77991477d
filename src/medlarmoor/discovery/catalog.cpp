#include <medlarmoor/discovery/catalog.hpp>

#include <algorithm>
#include <tuple>
#include <unordered_set>

namespace medlarmoor::discovery {

using State = CatalogEntry::State;

namespace {

/// Returns true if both describe the same run of an upstream. Without start
/// times, an entry that was created anew counts as another run.
bool isSameIncarnation(const Upstream &A, const Upstream &B) noexcept {
  if (A.StartedAt_ == WallTime() || B.StartedAt_ == WallTime())
    return A.CreatedRevision_ == B.CreatedRevision_;
  return A.StartedAt_ == B.StartedAt_;
}

} // namespace

Catalog::Catalog(CatalogLimits Limits, EvacuationUse Use)
    : Limits_(Limits), Use_(Use) {}

void Catalog::apply(UpstreamChanges Changes, StoreRevision Revision,
                    TimePoint Now) {
  recordUnreadable(Changes, Revision);
  discardOutdated(Changes.Listed_, Changes.IsFullSnapshot_, Revision);
  if (Changes.IsFullSnapshot_) {
    unlistMissing(Changes, Revision, Now);
    HistoryStart_ = Revision;
    Ready_ = true;
  }
  for (Upstream &Listed : Changes.Listed_)
    put(std::move(Listed), !Changes.IsFullSnapshot_, Revision, Now);
  for (const UpstreamName &Name : Changes.Removed_) {
    const auto Found = Entries_.find(Name);
    // A peer may know the upstream and learn of the removal from here only.
    if (Found == Entries_.end()) {
      HistoryStart_ = Revision;
      continue;
    }
    if (Found->second->State_ == State::Listed)
      unlist(*Found->second, Revision, Now);
    Found->second->Revision_ = Revision;
  }
  rebuild();
}

EvacuationChanges Catalog::applyEvacuations(const EvacuationChanges &Changes,
                                            StoreRevision Revision,
                                            TimePoint Now) {
  EvacuationChanges Effect = Evacuations_.apply(Changes, Revision, Now);
  if (!Effect.Listed_.empty() || !Effect.Removed_.empty())
    rebuild();
  return Effect;
}

void Catalog::discardOutdated(std::vector<Upstream> &Listed,
                              bool IsFullSnapshot,
                              StoreRevision Revision) const {
  std::erase_if(Listed, [&](Upstream &Item) {
    const auto Found = Entries_.find(Item.Name_);
    if (Found == Entries_.end())
      return false;
    const CatalogEntry &Entry = *Found->second;
    const Upstream &Known = Entry.Upstream_;
    if (!isSameIncarnation(Item, Known))
      return IsFullSnapshot && Revision.Epoch_ > Entry.Revision_.Epoch_ &&
             Item.StartedAt_ < Known.StartedAt_;
    Item.Draining_ = Item.Draining_ || Known.Draining_;
    // An upstream that lapsed and lives registers a new entry.
    return Entry.State_ == State::Retired &&
           (Known.Draining_ || Item.CreatedRevision_ == Known.CreatedRevision_);
  });
}

void Catalog::put(Upstream Listed, bool IsChange, StoreRevision Revision,
                  TimePoint Now) {
  std::unique_ptr<CatalogEntry> &Entry = Entries_[Listed.Name_];
  if (!Entry)
    Entry = std::make_unique<CatalogEntry>();
  const bool WasListed =
      Entry->Tag_ != affinity::NoTag && Entry->State_ == State::Listed;
  if (!WasListed)
    Entry->StateSince_ = Now;
  // A list that was read while it changed already holds later changes. Peers
  // with a list of the same revision may lack them.
  if (IsChange || !WasListed || Entry->Upstream_ != Listed)
    Entry->Revision_ = Revision;
  Entry->State_ = State::Listed;
  Entry->Tag_ = affinity::tagOf(Listed.Name_);
  Entry->Upstream_ = std::move(Listed);
  Entry->ReportedAt_ = Now;
}

void Catalog::recordUnreadable(const UpstreamChanges &Changes,
                               StoreRevision Revision) {
  if (Changes.IsFullSnapshot_) {
    const std::unordered_set<UpstreamName> Names(Changes.Unreadable_.begin(),
                                                 Changes.Unreadable_.end());
    std::erase_if(Unreadable_, [&](const auto &Item) {
      return !Names.contains(Item.first);
    });
  }
  for (const Upstream &Listed : Changes.Listed_)
    if (Unreadable_.erase(Listed.Name_) > 0)
      if (const auto Known = Entries_.find(Listed.Name_);
          Known != Entries_.end())
        Known->second->Revision_ = Revision;
  for (const UpstreamName &Name : Changes.Removed_)
    Unreadable_.erase(Name);
  for (const UpstreamName &Name : Changes.Unreadable_) {
    const auto [Known, Inserted] = Unreadable_.try_emplace(Name, Revision);
    if (!Changes.IsFullSnapshot_)
      Known->second = Revision;
  }
}

void Catalog::unlistMissing(const UpstreamChanges &Changes,
                            StoreRevision Revision, TimePoint Now) {
  std::unordered_set<UpstreamName> Names(Changes.Unreadable_.begin(),
                                         Changes.Unreadable_.end());
  for (const Upstream &Item : Changes.Listed_)
    Names.insert(Item.Name_);
  for (const auto &[Name, Entry] : Entries_)
    if (Entry->State_ == State::Listed && !Names.contains(Name))
      unlist(*Entry, Revision, Now);
}

void Catalog::storeRecovered(TimePoint RecoveredAt) {
  StoreRecoveredAt_ =
      std::max(StoreRecoveredAt_.value_or(RecoveredAt), RecoveredAt);
}

void Catalog::expire(TimePoint Now) {
  bool Changed = false;
  for (auto It = Entries_.begin(); It != Entries_.end();) {
    CatalogEntry &Entry = *It->second;
    if (Entry.State_ == State::Lapsed && !inReregistrationGrace(Now)) {
      Entry.State_ = State::Retired;
      Entry.StateSince_ = Now;
      Changed = true;
    }
    if (Entry.State_ == State::Retired &&
        Now >= Entry.StateSince_ + Limits_.MaxFlowAge_) {
      HistoryStart_ = std::max(HistoryStart_, Entry.Revision_);
      It = Entries_.erase(It);
      Changed = true;
    } else {
      ++It;
    }
  }
  if (Changed)
    rebuild();
}

const CatalogEntry *Catalog::find(affinity::Tag Tag) const noexcept {
  const auto Found = EntriesByTag_.find(Tag);
  return Found == EntriesByTag_.end() ? nullptr : Found->second;
}

const std::vector<const CatalogEntry *> &
Catalog::candidates(const ServiceName &Service) const noexcept {
  static const std::vector<const CatalogEntry *> None;
  const auto Found = Candidates_.find(Service);
  return Found == Candidates_.end() ? None : Found->second;
}

std::vector<const CatalogEntry *> Catalog::accepting() const {
  std::vector<const CatalogEntry *> Accepting;
  for (const auto &[Service, Entries] : Candidates_)
    Accepting.insert(Accepting.end(), Entries.begin(), Entries.end());
  return Accepting;
}

std::size_t Catalog::listedCount() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(Entries_.begin(), Entries_.end(), [](const auto &Item) {
        return Item.second->State_ == State::Listed;
      }));
}

UpstreamChanges Catalog::changesSince(StoreRevision Revision) const {
  UpstreamChanges Changes;
  Changes.IsFullSnapshot_ = Revision < HistoryStart_;
  for (const auto &[Name, Entry] : Entries_) {
    if (!Changes.IsFullSnapshot_ && Entry->Revision_ <= Revision)
      continue;
    const bool Listed = Entry->State_ == State::Listed;
    if (Listed && !unreadable(Name))
      Changes.Listed_.push_back(Entry->Upstream_);
    else if (!Listed && !Changes.IsFullSnapshot_)
      Changes.Removed_.push_back(Name);
  }
  for (const auto &[Name, Since] : Unreadable_)
    if (Changes.IsFullSnapshot_ || Since > Revision)
      Changes.Unreadable_.push_back(Name);
  return Changes;
}

void Catalog::rebuild() {
  EntriesByTag_.clear();
  Candidates_.clear();
  EvacuatedServices_.clear();
  Domains_.clear();
  for (const auto &[Name, Entry] : Entries_) {
    // If two upstreams have the same tag, EntriesByTag_ holds the one created
    // first in the store. All instances see the same order. The other receives
    // no new flows.
    const CatalogEntry *&First = EntriesByTag_[Entry->Tag_];
    const auto CreationOrder = [](const CatalogEntry &Candidate) {
      return std::tie(Candidate.Upstream_.CreatedRevision_,
                      Candidate.Upstream_.Name_);
    };
    if (!First || CreationOrder(*Entry) < CreationOrder(*First))
      First = Entry.get();
    if (Entry->State_ != State::Retired)
      ++Domains_[Entry->Upstream_.Domain_];
  }
  for (const auto &[Tag, Entry] : EntriesByTag_) {
    if (!Entry->acceptsNewFlows() || unreadable(Entry->Upstream_.Name_))
      continue;
    if (evacuated(*Entry))
      EvacuatedServices_.insert(Entry->Upstream_.Service_);
    else
      Candidates_[Entry->Upstream_.Service_].push_back(Entry);
  }
  std::erase_if(EvacuatedServices_, [this](const ServiceName &Service) {
    return Candidates_.contains(Service);
  });
  for (auto &[Service, Entries] : Candidates_)
    std::sort(Entries.begin(), Entries.end(), [](const auto *A, const auto *B) {
      return A->Upstream_.Name_ < B->Upstream_.Name_;
    });
}

bool Catalog::inReregistrationGrace(TimePoint Now) const noexcept {
  return StoreRecoveredAt_ &&
         Now < *StoreRecoveredAt_ + Limits_.ReregistrationGrace_;
}

void Catalog::unlist(CatalogEntry &Entry, StoreRevision Revision,
                     TimePoint Now) {
  // A draining upstream has announced its end. Only one that disappears without
  // notice may have lapsed because of the outage.
  const bool MayReregister =
      inReregistrationGrace(Now) && !Entry.Upstream_.Draining_;
  Entry.State_ = MayReregister ? State::Lapsed : State::Retired;
  Entry.StateSince_ = Now;
  Entry.Revision_ = Revision;
}

} // namespace medlarmoor::discovery
