#include <harness/store_model.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlarmoor::harness {

bool StoreModel::put(const std::string &Kind, const std::string &Name,
                     Json Spec, TimePoint Now) {
  Object Next{Revision_ + 1, Revision_ + 1, std::move(Spec)};
  const auto &Objects = Kinds_[Kind];
  if (const auto Found = Objects.find(Name); Found != Objects.end()) {
    if (Found->second.Spec_ == Next.Spec_)
      return false;
    Next.Created_ = Found->second.Created_;
  }
  append({Now, Kind, Name, std::move(Next), false});
  return true;
}

bool StoreModel::remove(const std::string &Kind, const std::string &Name,
                        TimePoint Now) {
  const auto &Objects = Kinds_[Kind];
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return false;
  Object Last = Found->second;
  Last.Revision_ = Revision_ + 1;
  append({Now, Kind, Name, std::move(Last), true});
  return true;
}

void StoreModel::forgetHistory() {
  // No instance can have this revision, so that all watches are refused.
  HistoryStart_ = ++Revision_;
}

void StoreModel::restore(TimePoint AsOf, TimePoint Now) {
  const auto Source = std::find_if(
      Timelines_.rbegin(), Timelines_.rend(),
      [AsOf](const Timeline &Past) { return Past.BeganAt_ <= AsOf; });
  std::deque<Event> Copied;
  std::copy_if(Source->Events_.begin(), Source->Events_.end(),
               std::back_inserter(Copied),
               [AsOf](const Event &Change) { return Change.At_ <= AsOf; });
  Kinds_.clear();
  Revision_ = 1;
  Timelines_.push_back({Now, {}});
  for (Event &Change : Copied)
    append(std::move(Change));
  HistoryStart_ = std::min(HistoryStart_, Revision_);
  ++Epoch_;
}

StoreModel::Json StoreModel::list(const std::string &Kind,
                                  const std::string &After,
                                  std::size_t Limit) const {
  Json Items = Json::array();
  bool More = false;
  if (const auto Found = Kinds_.find(Kind); Found != Kinds_.end()) {
    const auto &Objects = Found->second;
    auto At = Objects.upper_bound(After);
    for (; At != Objects.end() && Items.size() < Limit; ++At)
      Items.push_back(pack(At->first, At->second));
    More = At != Objects.end();
  }
  return {{"items", Items}, {"more", More}, {"storeRevision", Revision_}};
}

std::optional<StoreModel::Json> StoreModel::changes(const std::string &Kind,
                                                    std::uint64_t After) const {
  if (After < HistoryStart_ || After > Revision_)
    return std::nullopt;
  Json Events = Json::array();
  for (const Event &Change : events())
    if (Change.State_.Revision_ > After && Change.Kind_ == Kind)
      Events.push_back({{"deleted", Change.Deleted_},
                        {"object", pack(Change.Name_, Change.State_)}});
  return Json{{"events", Events}, {"storeRevision", Revision_}};
}

std::uint64_t StoreModel::lastChange(const std::string &Kind) const {
  for (auto Change = events().rbegin(); Change != events().rend(); ++Change)
    if (Change->Kind_ == Kind)
      return Change->State_.Revision_;
  return 0;
}

const StoreModel::Json *StoreModel::find(const std::string &Kind,
                                         const std::string &Name) const {
  const auto Objects = Kinds_.find(Kind);
  if (Objects == Kinds_.end())
    return nullptr;
  const auto Found = Objects->second.find(Name);
  return Found == Objects->second.end() ? nullptr : &Found->second.Spec_;
}

void StoreModel::append(Event Change) {
  Revision_ = Change.State_.Revision_;
  if (Change.Deleted_)
    Kinds_[Change.Kind_].erase(Change.Name_);
  else
    Kinds_[Change.Kind_][Change.Name_] = Change.State_;
  Timelines_.back().Events_.push_back(std::move(Change));
}

StoreModel::Json StoreModel::pack(const std::string &Name,
                                  const Object &State) {
  return {{"meta",
           {{"name", Name},
            {"revision", State.Revision_},
            {"created", State.Created_},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", State.Spec_},
          {"status", nullptr}};
}

} // namespace medlarmoor::harness
