#include <medlarmoor/discovery/catalog.hpp>

#include <algorithm>
#include <tuple>
#include <unordered_set>

namespace medlarmoor::discovery {

using State = CatalogEntry::State;

Catalog::Catalog(CatalogLimits Limits) : Limits_(Limits) {}

void Catalog::apply(UpstreamChanges Changes, std::uint64_t Revision,
                    TimePoint Now) {
  if (Changes.IsFullSnapshot_) {
    dropAllBut(Changes.Listed_, Revision, Now);
    HistoryBegins_ = Revision;
    Ready_ = true;
  }
  for (Upstream &Each : Changes.Listed_)
    put(std::move(Each), Revision, Now);
  for (const UpstreamName &Name : Changes.Removed_) {
    const auto Found = Entries_.find(Name);
    if (Found != Entries_.end() && Found->second->State_ == State::Listed)
      drop(*Found->second, Revision, Now);
  }
  rebuild();
}

void Catalog::put(Upstream Each, std::uint64_t Revision, TimePoint Now) {
  std::unique_ptr<CatalogEntry> &Entry = Entries_[Each.Name_];
  if (!Entry)
    Entry = std::make_unique<CatalogEntry>();
  const bool Known =
      Entry->Tag_ != affinity::NoTag && Entry->State_ == State::Listed;
  if (!Known)
    Entry->StateSince_ = Now;
  if (!Known || Entry->Upstream_ != Each)
    Entry->Revision_ = Revision;
  Entry->State_ = State::Listed;
  Entry->Tag_ = affinity::tagOf(Each.Name_);
  Entry->Upstream_ = std::move(Each);
  Entry->ReportedAt_ = Now;
}

void Catalog::dropAllBut(const std::vector<Upstream> &Listed,
                         std::uint64_t Revision, TimePoint Now) {
  std::unordered_set<UpstreamName> Names;
  for (const Upstream &Each : Listed)
    Names.insert(Each.Name_);
  for (const auto &[Name, Entry] : Entries_)
    if (Entry->State_ == State::Listed && !Names.contains(Name))
      drop(*Entry, Revision, Now);
}

void Catalog::storeRecovered(TimePoint When) {
  StoreReturnedAt_ = std::max(StoreReturnedAt_.value_or(When), When);
}

void Catalog::expire(TimePoint Now) {
  bool Changed = false;
  for (auto It = Entries_.begin(); It != Entries_.end();) {
    CatalogEntry &Entry = *It->second;
    if (Entry.State_ == State::Lapsed && !withinGrace(Now)) {
      Entry.State_ = State::Retired;
      Entry.StateSince_ = Now;
      Changed = true;
    }
    if (Entry.State_ == State::Retired &&
        Now >= Entry.StateSince_ + Limits_.MaxFlowAge_) {
      HistoryBegins_ = std::max(HistoryBegins_, Entry.Revision_);
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
  const auto Found = Owners_.find(Tag);
  return Found == Owners_.end() ? nullptr : Found->second;
}

const std::vector<const CatalogEntry *> &
Catalog::candidates(const ServiceName &Service) const noexcept {
  static const std::vector<const CatalogEntry *> None;
  const auto Found = Candidates_.find(Service);
  return Found == Candidates_.end() ? None : Found->second;
}

std::size_t Catalog::listedCount() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(Entries_.begin(), Entries_.end(), [](const auto &Each) {
        return Each.second->State_ == State::Listed;
      }));
}

UpstreamChanges Catalog::changesSince(std::uint64_t Revision) const {
  UpstreamChanges Out;
  Out.IsFullSnapshot_ = Revision < HistoryBegins_;
  for (const auto &[Name, Entry] : Entries_) {
    if (!Out.IsFullSnapshot_ && Entry->Revision_ <= Revision)
      continue;
    if (Entry->State_ == State::Listed)
      Out.Listed_.push_back(Entry->Upstream_);
    else if (!Out.IsFullSnapshot_)
      Out.Removed_.push_back(Name);
  }
  return Out;
}

void Catalog::rebuild() {
  Owners_.clear();
  Candidates_.clear();
  for (const auto &[Name, Entry] : Entries_) {
    // Of two upstreams with one tag the older owns it, by the store's order,
    // which all instances see alike. The younger takes no flows.
    const CatalogEntry *&Owner = Owners_[Entry->Tag_];
    const auto Age = [](const CatalogEntry &Each) {
      return std::tie(Each.Upstream_.CreatedRevision_, Each.Upstream_.Name_);
    };
    if (!Owner || Age(*Entry) < Age(*Owner))
      Owner = Entry.get();
  }
  for (const auto &[Tag, Entry] : Owners_)
    if (Entry->acceptsNewFlows())
      Candidates_[Entry->Upstream_.Service_].push_back(Entry);
  for (auto &[Service, Entries] : Candidates_)
    std::sort(Entries.begin(), Entries.end(), [](const auto *A, const auto *B) {
      return A->Upstream_.Name_ < B->Upstream_.Name_;
    });
}

bool Catalog::withinGrace(TimePoint Now) const noexcept {
  return StoreReturnedAt_ &&
         Now < *StoreReturnedAt_ + Limits_.ReregistrationGrace_;
}

void Catalog::drop(CatalogEntry &Entry, std::uint64_t Revision, TimePoint Now) {
  // A draining upstream ends as announced; only silence can be the outage's.
  const bool MayReturn = withinGrace(Now) && !Entry.Upstream_.Draining_;
  Entry.State_ = MayReturn ? State::Lapsed : State::Retired;
  Entry.StateSince_ = Now;
  Entry.Revision_ = Revision;
}

} // namespace medlarmoor::discovery
