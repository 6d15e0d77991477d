#include <medlarmoor/flow/homes.hpp>

#include <algorithm>

namespace medlarmoor::flow {

namespace {

using membership::Member;
using membership::MemberState;
using membership::View;

/// A home before may still pass on a first packet that it took just before it
/// granted; the record of it arrives within this time.
constexpr Nanos LatePackets = Seconds(1);
/// View changes whose homes before are awaited at once.
constexpr std::size_t MostPriors = 16;

/// The members of All with Name no longer live.
View without(const View &All, const EntryName &Name) {
  std::vector<Member> Members(All.members().begin(), All.members().end());
  for (Member &Each : Members)
    if (Each.Name_ == Name)
      Each.State_ = MemberState::Leaving;
  return {All.self(), std::move(Members)};
}

} // namespace

Homes::Homes(EntryName Self, Nanos SoloWait)
    : Self_(std::move(Self)), SoloWait_(SoloWait) {}

void Homes::adopt(const View &Members, TimePoint Now) {
  const View Before = Raw_.view();
  const bool Resumes = Suspended_ || !FirstView_;
  Raw_ = HomeMap(Members);
  if (!FirstView_)
    FirstView_ = Now;
  const Member *Own = Members.find(Self_);
  if (Own == nullptr) {
    suspend();
    return;
  }
  Suspended_ = false;
  if (Resumes)
    startJoining();
  else
    followChange(Before);
  dropAbsent();
  endPriors();
  rebuild();
}

void Homes::suspend() {
  Suspended_ = true;
  Priors_.clear();
  rebuild();
}

void Homes::leave() {
  Leaving_ = true;
  rebuild();
  const auto Members = Effective_.view().members();
  const bool Anyone =
      std::any_of(Members.begin(), Members.end(), [](const Member &Each) {
        return Each.State_ == MemberState::Live;
      });
  if (Anyone)
    return;
  for (const Member &Each : Raw_.view().members())
    Granted_.insert(Each.Name_);
  rebuild();
}

void Homes::startJoining() {
  Joining_ = true;
  Granted_.clear();
  GrantedBy_.clear();
  Priors_.clear();
  Former_.clear();
  std::vector<Awaited> Others;
  for (const Member &Each : Raw_.view().members()) {
    if (Each.Name_ == Self_)
      continue;
    Granted_.insert(Each.Name_);
    Others.push_back({Each.Name_, std::nullopt});
  }
  addPrior(without(Raw_.view(), Self_), std::move(Others));
}

void Homes::followChange(const View &Before) {
  std::vector<Awaited> Stopping;
  for (const Member &Each : Raw_.view().members()) {
    const Member *Earlier = Before.find(Each.Name_);
    const bool Stops = Earlier != nullptr &&
                       Earlier->State_ == MemberState::Live &&
                       Each.State_ == MemberState::Leaving;
    if (Stops && Each.Name_ != Self_ && !Left_.contains(Each.Name_))
      Stopping.push_back({Each.Name_, std::nullopt});
  }
  if (!Stopping.empty())
    addPrior(Before, std::move(Stopping));
}

void Homes::dropAbsent() {
  const View &Members = Raw_.view();
  const auto Absent = [&](const EntryName &Name) {
    return Members.find(Name) == nullptr;
  };
  std::erase_if(Granted_, Absent);
  std::erase_if(GrantedBy_, Absent);
  std::erase_if(Left_, Absent);
  for (Prior &Each : Priors_) {
    View Map = Each.Map_.view();
    for (const Member &Old : Each.Map_.view().members())
      if (Absent(Old.Name_))
        Map = without(Map, Old.Name_);
    Each.Map_ = HomeMap(Map);
    std::erase_if(Each.Awaited_,
                  [&](const Awaited &One) { return Absent(One.Name_); });
  }
}

void Homes::addPrior(View Map, std::vector<Awaited> Of) {
  Priors_.push_back({HomeMap(std::move(Map)), std::move(Of)});
  if (Priors_.size() > MostPriors)
    Priors_.erase(Priors_.begin());
}

void Homes::grant(const EntryName &Name) {
  if (Granted_.insert(Name).second)
    rebuild();
}

void Homes::granted(const EntryName &Name, ViewId Seen, bool FromJoining,
                    TimePoint Now) {
  if (Seen != Raw_.view().id())
    return;
  GrantedBy_.insert(Name);
  for (Prior &Each : Priors_) {
    if (FromJoining)
      Each.Map_ = HomeMap(without(Each.Map_.view(), Name));
    std::erase_if(Each.Awaited_, [&](const Awaited &One) {
      return FromJoining && One.Name_ == Name;
    });
    for (Awaited &One : Each.Awaited_)
      if (One.Name_ == Name && !One.GrantedAt_)
        One.GrantedAt_ = Now;
  }
  endPriors();
}

void Homes::left(const EntryName &Name, ViewId Seen, bool ToSelf,
                 TimePoint Now) {
  Left_.insert(Name);
  Former_.try_emplace(Name, Staying_);
  // Under another view it may have handed this entry's flows to one that is
  // not known here yet; then it is asked as long as it is there.
  std::optional<TimePoint> HandedAt;
  if (Seen == Raw_.view().id())
    HandedAt = Now;
  if (HandedAt)
    for (Prior &Each : Priors_) {
      if (!ToSelf)
        Each.Map_ = HomeMap(without(Each.Map_.view(), Name));
      std::erase_if(Each.Awaited_,
                    [&](const Awaited &One) { return One.Name_ == Name; });
    }
  addPrior(ToSelf ? Staying_.view() : without(Staying_.view(), Self_),
           {{Name, HandedAt}});
  rebuild();
}

void Homes::tick(TimePoint Now) {
  for (Prior &Each : Priors_)
    std::erase_if(Each.Awaited_, [&](const Awaited &One) {
      return One.GrantedAt_ && Now - *One.GrantedAt_ > LatePackets;
    });
  endPriors();
}

void Homes::endPriors() {
  std::erase_if(Priors_,
                [](const Prior &Each) { return Each.Awaited_.empty(); });
  if (Priors_.empty())
    Joining_ = false;
}

/// Former homes matter as long as some live member was not handed over to.
void Homes::endFormer() {
  const auto Members = Raw_.view().members();
  const bool AllGranted =
      std::all_of(Members.begin(), Members.end(), [this](const Member &Each) {
        return Each.Name_ == Self_ || Each.State_ != MemberState::Live ||
               Left_.contains(Each.Name_) || Granted_.contains(Each.Name_);
      });
  if (AllGranted)
    std::erase_if(Former_, [this](const auto &Each) {
      return Raw_.view().find(Each.first) == nullptr;
    });
}

bool Homes::active(TimePoint Now) const noexcept {
  if (!FirstView_ || Suspended_)
    return false;
  return LiveCount_ > 1 || Now - *FirstView_ >= SoloWait_;
}

const Member *Homes::previous(FlowId Flow, std::uint64_t ServiceSeed,
                              bool FirstPacket, const EntryName &Except) const {
  for (auto Each = Priors_.rbegin(); Each != Priors_.rend(); ++Each) {
    const Member *Before = Each->Map_.homeWithout(Flow, ServiceSeed, Except);
    if (Before == nullptr || Before->Name_ == Self_)
      continue; // what this entry was home of it may have had from others
    for (const Awaited &One : Each->Awaited_)
      if (One.Name_ == Before->Name_ && !(FirstPacket && One.GrantedAt_))
        return Before;
  }
  return nullptr;
}

bool Homes::wasBefore(const Member &Home, const EntryName &Name, FlowId Flow,
                      std::uint64_t ServiceSeed) const {
  const auto Of = Former_.find(Name);
  if (Of == Former_.end())
    return false;
  const Member *Before = Of->second.homeWithout(Flow, ServiceSeed, Home.Name_);
  return Before != nullptr && Before->Name_ == Name;
}

const Member *Homes::contender(FlowId Flow, std::uint64_t ServiceSeed) {
  for (auto &[Name, Map] : Former_) {
    const Member *Then = Map.home(Flow, ServiceSeed);
    if (Then == nullptr || Then->Name_ != Name)
      continue;
    const Member *Now = Remaining_.home(Flow, ServiceSeed);
    if (Now != nullptr && Now->Name_ != Self_ && !Granted_.contains(Now->Name_))
      return Now;
  }
  return nullptr;
}

std::set<EntryName> Homes::awaited() const {
  std::set<EntryName> Out;
  for (const Prior &Each : Priors_)
    for (const Awaited &One : Each.Awaited_)
      Out.insert(One.Name_);
  return Out;
}

std::vector<EntryName> Homes::unclaimed() const {
  std::vector<EntryName> Out;
  if (Suspended_ || Leaving_)
    return Out;
  for (const Member &Each : Raw_.view().members())
    if (Each.Name_ != Self_ && !GrantedBy_.contains(Each.Name_) &&
        !Left_.contains(Each.Name_))
      Out.push_back(Each.Name_);
  return Out;
}

void Homes::rebuild() {
  const View &Members = Raw_.view();
  std::vector<Member> Out(Members.members().begin(), Members.members().end());
  LiveCount_ = 0;
  LivePlace_ = 0;
  for (Member &Each : Out) {
    if (Each.State_ != MemberState::Live)
      continue;
    const bool Own = Each.Name_ == Self_;
    LivePlace_ += Each.Name_ < Self_ ? 1 : 0;
    ++LiveCount_;
    const bool Unready = !Suspended_ && !Granted_.contains(Each.Name_);
    if (Own ? Suspended_ : Left_.contains(Each.Name_) || Unready)
      Each.State_ = MemberState::Leaving;
  }
  const View Staying(Self_, std::move(Out));
  Staying_ = HomeMap(Staying);
  Effective_ = HomeMap(Leaving_ ? without(Staying, Self_) : Staying);
  View Remaining = Members;
  for (const EntryName &Each : Left_)
    Remaining = without(Remaining, Each);
  Remaining_ = HomeMap(std::move(Remaining));
  endFormer();
}

} // namespace medlarmoor::flow
