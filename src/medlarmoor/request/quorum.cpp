#include <medlarmoor/request/quorum.hpp>

#include <algorithm>

namespace medlarmoor::request {

Quorum::Quorum(EntryName Self, Millis SettlingTime, Clock Time)
    : Self_(std::move(Self)), SettlingTime_(SettlingTime),
      Time_(std::move(Time)), View_(std::make_shared<membership::View>()) {}

void Quorum::onView(membership::ViewPtr View) {
  const bool HadMajority = hasMajority();
  View_ = std::move(View);
  for (const membership::Member &Member : View_->members()) {
    if (Member.State_ == membership::MemberState::Live)
      Electorate_[Member.Name_] = Time_.now();
    else
      Electorate_.erase(Member.Name_);
  }
  recordMajorityStart(HadMajority);
}

void Quorum::onPlatformList(std::span<const EntryName> Names) {
  const bool HadMajority = hasMajority();
  std::erase_if(Electorate_, [&](const auto &Elector) {
    const bool Listed =
        std::find(Names.begin(), Names.end(), Elector.first) != Names.end();
    return !Listed && !isMember(Elector.first);
  });
  for (const EntryName &Name : Names)
    Electorate_.try_emplace(Name, Time_.now());
  ListKnown_ = true;
  recordMajorityStart(HadMajority);
}

void Quorum::proceedWithoutList() {
  const bool HadMajority = hasMajority();
  ListKnown_ = true;
  recordMajorityStart(HadMajority);
}

void Quorum::tick() {
  const TimePoint Now = Time_.now();
  for (const membership::Member &Member : View_->members())
    if (Member.State_ == membership::MemberState::Live)
      Electorate_[Member.Name_] = Now;
  if (hasMajority())
    std::erase_if(Electorate_, [&](const auto &Elector) {
      return Now - Elector.second > SettlingTime_;
    });
}

void Quorum::recordMajorityStart(bool HadMajority) {
  if (!HadMajority && hasMajority())
    MajoritySince_ = Time_.wallNow();
}

bool Quorum::hasMajority() const {
  if (!ListKnown_)
    return false;
  const membership::Member *Self = View_->find(Self_);
  if (!Self || Self->State_ != membership::MemberState::Live)
    return false;
  const auto Present = std::count_if(
      Electorate_.begin(), Electorate_.end(), [&](const auto &Elector) {
        const membership::Member *Found = View_->find(Elector.first);
        return Found && Found->State_ == membership::MemberState::Live;
      });
  return 2 * static_cast<std::size_t>(Present) > Electorate_.size();
}

std::vector<membership::Member>
Quorum::replicaTargets(std::uint64_t Key) const {
  std::vector<membership::Member> Targets;
  for (const membership::Member *Candidate : View_->homeCandidates(Key))
    if (Candidate->Name_ != Self_)
      Targets.push_back(*Candidate);
  return Targets;
}

bool Quorum::isMember(const EntryName &Name) const {
  return View_->find(Name) != nullptr;
}

} // namespace medlarmoor::request
