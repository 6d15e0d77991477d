#include <harness/object_store.hpp>

#include <algorithm>
#include <iterator>

namespace medlarmoor::harness {

namespace {

/// States of one object that are kept for reads of the past.
constexpr std::size_t StatesKept = 32;
/// Revisions that a watch may lag behind.
constexpr std::uint64_t RevisionsKept = 10'000;

} // namespace

std::uint64_t ObjectStore::present(const Key &Where) const {
  const auto Found = Objects_.find(Where);
  if (Found == Objects_.end() || Found->second.back().Deleted_)
    return 0;
  return Found->second.back().Version_;
}

ObjectStore::Written ObjectStore::append(const Key &Where, std::string Value,
                                         bool Deleted, TimePoint Now) {
  History &States = Objects_[Where];
  const std::uint64_t Version = States.empty() ? 1 : States.back().Version_ + 1;
  States.push_back({Where.first, Where.second, Version, ++Revision_,
                    std::move(Value), Deleted, Now});
  if (States.size() > StatesKept)
    States.pop_front();
  if (Revision_ > RevisionsKept)
    Forgotten_ = Revision_ - RevisionsKept;
  return {Result::Done, Version};
}

ObjectStore::Written ObjectStore::put(std::string Kind, std::string Name,
                                      std::string Value,
                                      std::optional<std::uint64_t> IfVersion,
                                      TimePoint Now) {
  const Key Where(std::move(Kind), std::move(Name));
  const std::uint64_t Present = present(Where);
  if (IfVersion && *IfVersion != Present)
    return {Result::Conflict, Present};
  return append(Where, std::move(Value), false, Now);
}

ObjectStore::Written ObjectStore::remove(const std::string &Kind,
                                         const std::string &Name,
                                         std::optional<std::uint64_t> IfVersion,
                                         TimePoint Now) {
  const Key Where(Kind, Name);
  const std::uint64_t Present = present(Where);
  if (Present == 0)
    return {Result::Missing, 0};
  if (IfVersion && *IfVersion != Present)
    return {Result::Conflict, Present};
  return append(Where, "null", true, Now);
}

void ObjectStore::restore(TimePoint AsOf) {
  Revision_ = Forgotten_;
  for (auto Item = Objects_.begin(); Item != Objects_.end();) {
    History &States = Item->second;
    std::erase_if(States, [AsOf](const StoredObject &State) {
      return State.Since_ > AsOf;
    });
    if (!States.empty())
      Revision_ = std::max(Revision_, States.back().Revision_);
    Item = States.empty() ? Objects_.erase(Item) : std::next(Item);
  }
}

const StoredObject *ObjectStore::at(const History &States, TimePoint AsOf) {
  for (auto State = States.rbegin(); State != States.rend(); ++State)
    if (State->Since_ <= AsOf)
      return State->Deleted_ ? nullptr : &*State;
  return nullptr;
}

const StoredObject *ObjectStore::get(const std::string &Kind,
                                     const std::string &Name,
                                     TimePoint AsOf) const {
  const auto Found = Objects_.find({Kind, Name});
  return Found == Objects_.end() ? nullptr : at(Found->second, AsOf);
}

std::vector<const StoredObject *> ObjectStore::list(const std::string &Kind,
                                                    std::string_view Prefix,
                                                    TimePoint AsOf) const {
  std::vector<const StoredObject *> Out;
  for (const auto &[Where, States] : Objects_) {
    if (Where.first != Kind || !Where.second.starts_with(Prefix))
      continue;
    if (const StoredObject *State = at(States, AsOf))
      Out.push_back(State);
  }
  return Out;
}

std::vector<const StoredObject *>
ObjectStore::changedAfter(const std::string &Kind, std::string_view Prefix,
                          std::uint64_t Revision) const {
  std::vector<const StoredObject *> Out;
  for (const auto &[Where, States] : Objects_)
    if (Where.first == Kind && Where.second.starts_with(Prefix) &&
        States.back().Revision_ > Revision)
      Out.push_back(&States.back());
  return Out;
}

} // namespace medlarmoor::harness
