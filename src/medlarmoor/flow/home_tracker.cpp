#include <medlarmoor/flow/home_tracker.hpp>

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

HomeTracker::HomeTracker(EntryName Self, Nanos SoloWait)
    : Self_(std::move(Self)), SoloWait_(SoloWait) {}

void HomeTracker::adopt(const View &Members, TimePoint Now) {
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
    awaitLeavingMembers(Before);
  dropAbsent();
  removeCompletedChanges();
  rebuild();
}

void HomeTracker::suspend() {
  Suspended_ = true;
  PendingChanges_.clear();
  rebuild();
}

void HomeTracker::leave() {
  Leaving_ = true;
  rebuild();
}

void HomeTracker::startJoining() {
  Joining_ = true;
  GrantedTo_.clear();
  GrantedBy_.clear();
  PendingChanges_.clear();
  FormerMaps_.clear();
  std::vector<Awaited> Others;
  for (const Member &Each : Raw_.view().members()) {
    if (Each.Name_ == Self_)
      continue;
    GrantedTo_.insert(Each.Name_);
    Others.push_back({Each.Name_, std::nullopt});
  }
  addPendingChange(without(Raw_.view(), Self_), std::move(Others));
}

void HomeTracker::awaitLeavingMembers(const View &Before) {
  std::vector<Awaited> Stopping;
  for (const Member &Each : Raw_.view().members()) {
    const Member *Earlier = Before.find(Each.Name_);
    const bool Stops = Earlier != nullptr &&
                       Earlier->State_ == MemberState::Live &&
                       Each.State_ == MemberState::Leaving;
    if (Stops && Each.Name_ != Self_ && !Departed_.contains(Each.Name_))
      Stopping.push_back({Each.Name_, std::nullopt});
  }
  if (!Stopping.empty())
    addPendingChange(Before, std::move(Stopping));
}

void HomeTracker::dropAbsent() {
  const View &Members = Raw_.view();
  const auto Absent = [&](const EntryName &Name) {
    return Members.find(Name) == nullptr;
  };
  std::erase_if(GrantedTo_, Absent);
  std::erase_if(GrantedBy_, Absent);
  std::erase_if(Departed_, Absent);
  for (PendingChange &Each : PendingChanges_) {
    View Map = Each.Map_.view();
    for (const Member &Old : Each.Map_.view().members())
      if (Absent(Old.Name_))
        Map = without(Map, Old.Name_);
    Each.Map_ = HomeMap(Map);
    std::erase_if(Each.Awaited_,
                  [&](const Awaited &One) { return Absent(One.Name_); });
  }
}

void HomeTracker::addPendingChange(View Map, std::vector<Awaited> Of) {
  PendingChanges_.push_back({HomeMap(std::move(Map)), std::move(Of)});
  if (PendingChanges_.size() > MostPriors)
    PendingChanges_.erase(PendingChanges_.begin());
}

void HomeTracker::grant(const EntryName &Name) {
  if (GrantedTo_.insert(Name).second)
    rebuild();
}

void HomeTracker::onGranted(const EntryName &Name, ViewId Seen,
                            bool FromJoining, TimePoint Now) {
  if (Seen != Raw_.view().id())
    return;
  GrantedBy_.insert(Name);
  for (PendingChange &Each : PendingChanges_) {
    if (FromJoining)
      Each.Map_ = HomeMap(without(Each.Map_.view(), Name));
    std::erase_if(Each.Awaited_, [&](const Awaited &One) {
      return FromJoining && One.Name_ == Name;
    });
    for (Awaited &One : Each.Awaited_)
      if (One.Name_ == Name && !One.GrantedAt_)
        One.GrantedAt_ = Now;
  }
  removeCompletedChanges();
}

void HomeTracker::onLeft(const EntryName &Name, ViewId Seen, bool ToSelf,
                         TimePoint Now) {
  Departed_.insert(Name);
  FormerMaps_.try_emplace(Name, EffectiveIfStaying_);
  // Under another view it may have handed this entry's flows to one that is
  // not known here yet; then it is asked as long as it is there.
  std::optional<TimePoint> HandedAt;
  if (Seen == Raw_.view().id())
    HandedAt = Now;
  if (HandedAt)
    for (PendingChange &Each : PendingChanges_) {
      if (!ToSelf)
        Each.Map_ = HomeMap(without(Each.Map_.view(), Name));
      std::erase_if(Each.Awaited_,
                    [&](const Awaited &One) { return One.Name_ == Name; });
    }
  addPendingChange(ToSelf ? EffectiveIfStaying_.view()
                          : without(EffectiveIfStaying_.view(), Self_),
                   {{Name, HandedAt}});
  rebuild();
}

void HomeTracker::tick(TimePoint Now) {
  for (PendingChange &Each : PendingChanges_)
    std::erase_if(Each.Awaited_, [&](const Awaited &One) {
      return One.GrantedAt_ && Now - *One.GrantedAt_ > LatePackets;
    });
  removeCompletedChanges();
}

void HomeTracker::removeCompletedChanges() {
  std::erase_if(PendingChanges_, [](const PendingChange &Each) {
    return Each.Awaited_.empty();
  });
  if (PendingChanges_.empty())
    Joining_ = false;
}

/// Former homes matter as long as some live member was not handed over to.
void HomeTracker::removeObsoleteFormerMaps() {
  const auto Members = Raw_.view().members();
  const bool AllGranted =
      std::all_of(Members.begin(), Members.end(), [this](const Member &Each) {
        return Each.Name_ == Self_ || Each.State_ != MemberState::Live ||
               Departed_.contains(Each.Name_) ||
               GrantedTo_.contains(Each.Name_);
      });
  if (AllGranted)
    std::erase_if(FormerMaps_, [this](const auto &Each) {
      return Raw_.view().find(Each.first) == nullptr;
    });
}

bool HomeTracker::active(TimePoint Now) const noexcept {
  if (!FirstView_ || Suspended_)
    return false;
  return LiveCount_ > 1 || Now - *FirstView_ >= SoloWait_;
}

const Member *HomeTracker::previous(FlowId Flow, std::uint64_t ServiceSeed,
                                    bool FirstPacket,
                                    const EntryName &Except) const {
  for (auto Each = PendingChanges_.rbegin(); Each != PendingChanges_.rend();
       ++Each) {
    const Member *Before = Each->Map_.homeWithout(Flow, ServiceSeed, Except);
    if (Before == nullptr || Before->Name_ == Self_)
      continue; // what this entry was home of it may have had from others
    for (const Awaited &One : Each->Awaited_)
      if (One.Name_ == Before->Name_ && !(FirstPacket && One.GrantedAt_))
        return Before;
  }
  return nullptr;
}

bool HomeTracker::wasHomeWithout(const Member &Home, const EntryName &Name,
                                 FlowId Flow, std::uint64_t ServiceSeed) const {
  const auto Of = FormerMaps_.find(Name);
  if (Of == FormerMaps_.end())
    return false;
  const Member *Before = Of->second.homeWithout(Flow, ServiceSeed, Home.Name_);
  return Before != nullptr && Before->Name_ == Name;
}

const Member *HomeTracker::contender(FlowId Flow, std::uint64_t ServiceSeed) {
  for (auto &[Name, Map] : FormerMaps_) {
    const Member *Then = Map.home(Flow, ServiceSeed);
    if (Then == nullptr || Then->Name_ != Name)
      continue;
    const Member *Now = Remaining_.home(Flow, ServiceSeed);
    if (Now != nullptr && Now->Name_ != Self_ &&
        !GrantedTo_.contains(Now->Name_))
      return Now;
  }
  return nullptr;
}

std::set<EntryName> HomeTracker::awaited() const {
  std::set<EntryName> Out;
  for (const PendingChange &Each : PendingChanges_)
    for (const Awaited &One : Each.Awaited_)
      Out.insert(One.Name_);
  return Out;
}

std::vector<EntryName> HomeTracker::pendingClaims() const {
  std::vector<EntryName> Out;
  if (Suspended_ || Leaving_)
    return Out;
  for (const Member &Each : Raw_.view().members())
    if (Each.Name_ != Self_ && !GrantedBy_.contains(Each.Name_) &&
        !Departed_.contains(Each.Name_))
      Out.push_back(Each.Name_);
  return Out;
}

/// One that leaves hands over to members that it did not know well when all
/// others leave too; true when that changed something.
bool HomeTracker::grantToRemaining() {
  const auto Live = [](const Member &Each) {
    return Each.State_ == MemberState::Live;
  };
  if (std::ranges::any_of(Effective_.view().members(), Live))
    return false;
  bool Changed = false;
  for (const Member &Each : Raw_.view().members())
    if (Live(Each) && Each.Name_ != Self_ && !Departed_.contains(Each.Name_))
      Changed |= GrantedTo_.insert(Each.Name_).second;
  return Changed;
}

void HomeTracker::rebuild() {
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
    const bool Unready = !Suspended_ && !GrantedTo_.contains(Each.Name_);
    if (Own ? Suspended_ : Departed_.contains(Each.Name_) || Unready)
      Each.State_ = MemberState::Leaving;
  }
  const View Staying(Self_, std::move(Out));
  EffectiveIfStaying_ = HomeMap(Staying);
  Effective_ = HomeMap(Leaving_ ? without(Staying, Self_) : Staying);
  if (Leaving_ && grantToRemaining())
    return rebuild();
  View Remaining = Members;
  for (const EntryName &Each : Departed_)
    Remaining = without(Remaining, Each);
  Remaining_ = HomeMap(std::move(Remaining));
  removeObsoleteFormerMaps();
}

} // namespace medlarmoor::flow
