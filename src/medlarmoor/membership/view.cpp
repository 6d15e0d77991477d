#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/membership/view.hpp>

#include <algorithm>

namespace medlarmoor::membership {

View::View(EntryName Self, std::vector<Member> Members)
    : Self_(std::move(Self)), Members_(std::move(Members)) {
  std::sort(Members_.begin(), Members_.end(),
            [](const Member &A, const Member &B) { return A.Name_ < B.Name_; });
  std::uint64_t Id = 0;
  for (const Member &Each : Members_) {
    const std::uint64_t Seed = hashText(Each.Name_.value());
    Seeds_.push_back(Seed);
    Id = mix(Id, Seed + static_cast<std::uint64_t>(Each.State_));
  }
  Id_ = ViewId(Id);
}

const Member *View::find(const EntryName &Name) const noexcept {
  const auto At = std::lower_bound(
      Members_.begin(), Members_.end(), Name,
      [](const Member &Each, const EntryName &N) { return Each.Name_ < N; });
  if (At == Members_.end() || At->Name_ != Name)
    return nullptr;
  return &*At;
}

const Member *View::home(std::uint64_t Key) const noexcept {
  return homeWithout(Key, EntryName());
}

const Member *View::homeWithout(std::uint64_t Key,
                                const EntryName &Without) const noexcept {
  const Member *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (std::size_t I = 0; I < Members_.size(); ++I) {
    if (Members_[I].State_ != MemberState::Live || Members_[I].Name_ == Without)
      continue;
    const std::uint64_t Score = mix(Seeds_[I], Key);
    if (Best && Score <= BestScore)
      continue;
    Best = &Members_[I];
    BestScore = Score;
  }
  return Best;
}

std::vector<const Member *> View::line(std::uint64_t Key) const {
  std::vector<std::pair<std::uint64_t, const Member *>> Scores;
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if (Members_[I].State_ == MemberState::Live)
      Scores.emplace_back(mix(Seeds_[I], Key), &Members_[I]);
  std::stable_sort(
      Scores.begin(), Scores.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<const Member *> Out;
  Out.reserve(Scores.size());
  for (const auto &[Score, Each] : Scores)
    Out.push_back(Each);
  return Out;
}

} // namespace medlarmoor::membership
