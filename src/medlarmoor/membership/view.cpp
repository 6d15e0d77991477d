#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/membership/view.hpp>

#include <algorithm>

namespace medlarmoor::membership {

View::View(EntryName Self, std::vector<Member> Members)
    : Self_(std::move(Self)), Members_(std::move(Members)) {
  std::sort(Members_.begin(), Members_.end(),
            [](const Member &A, const Member &B) { return A.Name_ < B.Name_; });
  std::uint64_t Id = 0;
  for (const Member &Listed : Members_) {
    const std::uint64_t Seed = hashText(Listed.Name_.value());
    Seeds_.push_back(Seed);
    Id = mix(Id, Seed + static_cast<std::uint64_t>(Listed.State_));
  }
  Id_ = ViewId(Id);
}

const Member *View::find(const EntryName &Name) const noexcept {
  const auto Found =
      std::lower_bound(Members_.begin(), Members_.end(), Name,
                       [](const Member &Listed, const EntryName &Wanted) {
                         return Listed.Name_ < Wanted;
                       });
  if (Found == Members_.end() || Found->Name_ != Name)
    return nullptr;
  return &*Found;
}

const Member *View::home(std::uint64_t Key) const noexcept {
  return homeWithout(Key, EntryName());
}

const Member *View::homeWithout(std::uint64_t Key,
                                const EntryName &Excluded) const noexcept {
  const Member *Home = nullptr;
  std::uint64_t HomeScore = 0;
  for (std::size_t I = 0; I < Members_.size(); ++I) {
    if (Members_[I].State_ != MemberState::Live ||
        Members_[I].Name_ == Excluded)
      continue;
    const std::uint64_t Score = mix(Seeds_[I], Key);
    if (Home && Score <= HomeScore)
      continue;
    Home = &Members_[I];
    HomeScore = Score;
  }
  return Home;
}

std::vector<const Member *> View::homeCandidates(std::uint64_t Key) const {
  std::vector<std::pair<std::uint64_t, const Member *>> Scored;
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if (Members_[I].State_ == MemberState::Live)
      Scored.emplace_back(mix(Seeds_[I], Key), &Members_[I]);
  std::stable_sort(
      Scored.begin(), Scored.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<const Member *> Candidates;
  Candidates.reserve(Scored.size());
  for (const auto &[Score, Candidate] : Scored)
    Candidates.push_back(Candidate);
  return Candidates;
}

} // namespace medlarmoor::membership
