#include <medlarmoor/request/quorum.hpp>

#include <algorithm>

namespace medlarmoor::request {

Quorum::Quorum(EntryName Self, Millis Settle, Clock Time)
    : Self_(std::move(Self)), Settle_(Settle), Time_(std::move(Time)),
      View_(std::make_shared<membership::View>()) {}

void Quorum::onView(membership::ViewPtr Now) {
  const bool Before = holds();
  View_ = std::move(Now);
  for (const membership::Member &Each : View_->members()) {
    if (Each.State_ == membership::MemberState::Live)
      Electorate_[Each.Name_] = Time_.now();
    else
      Electorate_.erase(Each.Name_);
  }
  noteHeld(Before);
}

void Quorum::onListed(std::span<const EntryName> Names) {
  const bool Before = holds();
  std::erase_if(Electorate_, [&](const auto &Each) {
    const bool Listed =
        std::find(Names.begin(), Names.end(), Each.first) != Names.end();
    return !Listed && !isMember(Each.first);
  });
  for (const EntryName &Each : Names)
    Electorate_.try_emplace(Each, Time_.now());
  Introduced_ = true;
  noteHeld(Before);
}

void Quorum::introduce() {
  const bool Before = holds();
  Introduced_ = true;
  noteHeld(Before);
}

void Quorum::tick() {
  const TimePoint Now = Time_.now();
  for (const membership::Member &Each : View_->members())
    if (Each.State_ == membership::MemberState::Live)
      Electorate_[Each.Name_] = Now;
  if (holds())
    std::erase_if(Electorate_, [&](const auto &Each) {
      return Now - Each.second > Settle_;
    });
}

void Quorum::noteHeld(bool Before) {
  if (!Before && holds())
    Since_ = Time_.wallNow();
}

bool Quorum::holds() const {
  if (!Introduced_)
    return false;
  const membership::Member *Self = View_->find(Self_);
  if (!Self || Self->State_ != membership::MemberState::Live)
    return false;
  const auto Present = std::count_if(
      Electorate_.begin(), Electorate_.end(), [&](const auto &Each) {
        const membership::Member *Found = View_->find(Each.first);
        return Found && Found->State_ == membership::MemberState::Live;
      });
  return 2 * static_cast<std::size_t>(Present) > Electorate_.size();
}

std::vector<membership::Member> Quorum::holders(std::uint64_t Key) const {
  std::vector<membership::Member> Out;
  for (const membership::Member *Each : View_->line(Key))
    if (Each->Name_ != Self_)
      Out.push_back(*Each);
  return Out;
}

bool Quorum::isMember(const EntryName &Name) const {
  return View_->find(Name) != nullptr;
}

} // namespace medlarmoor::request
