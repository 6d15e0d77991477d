#include <medlarmoor/flow/home_tracker.hpp>

#include <algorithm>

namespace medlarmoor::flow {

namespace {

using membership::Member;
using membership::MemberState;
using membership::View;

/// A previous home may still forward a first packet that it received just
/// before it granted; the record of that flow arrives within this time.
constexpr Nanos LatePackets = Seconds(1);
/// Maximum number of view changes whose previous homes are awaited at once.
constexpr std::size_t MaxPendingChanges = 16;

/// Returns the members of All with Name no longer live.
View without(const View &All, const EntryName &Name) {
  std::vector<Member> Members(All.members().begin(), All.members().end());
  for (Member &Candidate : Members)
    if (Candidate.Name_ == Name)
      Candidate.State_ = MemberState::Leaving;
  return {All.self(), std::move(Members)};
}

} // namespace

HomeTracker::HomeTracker(EntryName Self, Nanos SoloWait)
    : Self_(std::move(Self)), SoloWait_(SoloWait) {}

void HomeTracker::adopt(const View &Members, TimePoint Now) {
  const View Previous = Raw_.view();
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
    awaitLeavingMembers(Previous);
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
  for (const Member &Listed : Raw_.view().members()) {
    if (Listed.Name_ == Self_)
      continue;
    GrantedTo_.insert(Listed.Name_);
    Others.push_back({Listed.Name_, std::nullopt});
  }
  addPendingChange(without(Raw_.view(), Self_), std::move(Others));
}

void HomeTracker::awaitLeavingMembers(const View &Previous) {
  std::vector<Awaited> Leavers;
  for (const Member &Current : Raw_.view().members()) {
    const Member *Earlier = Previous.find(Current.Name_);
    const bool StartsLeaving = Earlier != nullptr &&
                               Earlier->State_ == MemberState::Live &&
                               Current.State_ == MemberState::Leaving;
    if (StartsLeaving && Current.Name_ != Self_ &&
        !Departed_.contains(Current.Name_))
      Leavers.push_back({Current.Name_, std::nullopt});
  }
  if (!Leavers.empty())
    addPendingChange(Previous, std::move(Leavers));
}

void HomeTracker::dropAbsent() {
  const View &Members = Raw_.view();
  const auto Absent = [&](const EntryName &Name) {
    return Members.find(Name) == nullptr;
  };
  std::erase_if(GrantedTo_, Absent);
  std::erase_if(GrantedBy_, Absent);
  std::erase_if(Departed_, Absent);
  for (PendingChange &Change : PendingChanges_) {
    View Map = Change.Map_.view();
    for (const Member &Listed : Change.Map_.view().members())
      if (Absent(Listed.Name_))
        Map = without(Map, Listed.Name_);
    Change.Map_ = HomeMap(Map);
    std::erase_if(Change.Awaited_,
                  [&](const Awaited &Home) { return Absent(Home.Name_); });
  }
}

void HomeTracker::addPendingChange(View Map, std::vector<Awaited> Homes) {
  PendingChanges_.push_back({HomeMap(std::move(Map)), std::move(Homes)});
  if (PendingChanges_.size() > MaxPendingChanges)
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
  for (PendingChange &Change : PendingChanges_) {
    if (FromJoining)
      Change.Map_ = HomeMap(without(Change.Map_.view(), Name));
    std::erase_if(Change.Awaited_, [&](const Awaited &Home) {
      return FromJoining && Home.Name_ == Name;
    });
    for (Awaited &Home : Change.Awaited_)
      if (Home.Name_ == Name && !Home.GrantedAt_)
        Home.GrantedAt_ = Now;
  }
  removeCompletedChanges();
}

void HomeTracker::onLeft(const EntryName &Name, ViewId Seen, bool ToSelf,
                         TimePoint Now) {
  Departed_.insert(Name);
  FormerMaps_.try_emplace(Name, EffectiveIfStaying_);
  // Under another view Name may have handed this entry's flows off to a member
  // that is not known here yet. In that case Name is still awaited for as long
  // as it is in the view.
  std::optional<TimePoint> HandedAt;
  if (Seen == Raw_.view().id())
    HandedAt = Now;
  if (HandedAt)
    for (PendingChange &Change : PendingChanges_) {
      if (!ToSelf)
        Change.Map_ = HomeMap(without(Change.Map_.view(), Name));
      std::erase_if(Change.Awaited_,
                    [&](const Awaited &Home) { return Home.Name_ == Name; });
    }
  addPendingChange(ToSelf ? EffectiveIfStaying_.view()
                          : without(EffectiveIfStaying_.view(), Self_),
                   {{Name, HandedAt}});
  rebuild();
}

void HomeTracker::tick(TimePoint Now) {
  for (PendingChange &Change : PendingChanges_)
    std::erase_if(Change.Awaited_, [&](const Awaited &Home) {
      return Home.GrantedAt_ && Now - *Home.GrantedAt_ > LatePackets;
    });
  removeCompletedChanges();
}

void HomeTracker::removeCompletedChanges() {
  std::erase_if(PendingChanges_, [](const PendingChange &Change) {
    return Change.Awaited_.empty();
  });
  if (PendingChanges_.empty())
    Joining_ = false;
}

/// Removes the former maps of members that are absent from the view, once this
/// entry has handed off to every live member.
void HomeTracker::removeObsoleteFormerMaps() {
  const auto Members = Raw_.view().members();
  const bool AllGranted =
      std::all_of(Members.begin(), Members.end(), [this](const Member &Listed) {
        return Listed.Name_ == Self_ || Listed.State_ != MemberState::Live ||
               Departed_.contains(Listed.Name_) ||
               GrantedTo_.contains(Listed.Name_);
      });
  if (AllGranted)
    std::erase_if(FormerMaps_, [this](const auto &Former) {
      return Raw_.view().find(Former.first) == nullptr;
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
  for (auto Change = PendingChanges_.rbegin(); Change != PendingChanges_.rend();
       ++Change) {
    const Member *Home = Change->Map_.homeWithout(Flow, ServiceSeed, Except);
    if (Home == nullptr || Home->Name_ == Self_)
      continue; // this entry may have received the flow from an earlier home
    for (const Awaited &Listed : Change->Awaited_)
      if (Listed.Name_ == Home->Name_ && !(FirstPacket && Listed.GrantedAt_))
        return Home;
  }
  return nullptr;
}

bool HomeTracker::wasHomeWithout(const Member &Home, const EntryName &Departed,
                                 FlowId Flow, std::uint64_t ServiceSeed) const {
  const auto Former = FormerMaps_.find(Departed);
  if (Former == FormerMaps_.end())
    return false;
  const Member *FormerHome =
      Former->second.homeWithout(Flow, ServiceSeed, Home.Name_);
  return FormerHome != nullptr && FormerHome->Name_ == Departed;
}

const Member *HomeTracker::contender(FlowId Flow, std::uint64_t ServiceSeed) {
  for (auto &[Name, Map] : FormerMaps_) {
    const Member *FormerHome = Map.home(Flow, ServiceSeed);
    if (FormerHome == nullptr || FormerHome->Name_ != Name)
      continue;
    const Member *Home = Remaining_.home(Flow, ServiceSeed);
    if (Home != nullptr && Home->Name_ != Self_ &&
        !GrantedTo_.contains(Home->Name_))
      return Home;
  }
  return nullptr;
}

std::set<EntryName> HomeTracker::awaited() const {
  std::set<EntryName> Names;
  for (const PendingChange &Change : PendingChanges_)
    for (const Awaited &Home : Change.Awaited_)
      Names.insert(Home.Name_);
  return Names;
}

std::vector<EntryName> HomeTracker::pendingClaims() const {
  std::vector<EntryName> Names;
  if (Suspended_ || Leaving_)
    return Names;
  for (const Member &Listed : Raw_.view().members())
    if (Listed.Name_ != Self_ && !GrantedBy_.contains(Listed.Name_) &&
        !Departed_.contains(Listed.Name_))
      Names.push_back(Listed.Name_);
  return Names;
}

/// Grants to all live members if no member to which this entry has handed off
/// is live any more, because all others leave too. Returns true if that changed
/// something.
bool HomeTracker::grantToRemaining() {
  const auto Live = [](const Member &Listed) {
    return Listed.State_ == MemberState::Live;
  };
  if (std::ranges::any_of(Effective_.view().members(), Live))
    return false;
  bool Changed = false;
  for (const Member &Listed : Raw_.view().members())
    if (Live(Listed) && Listed.Name_ != Self_ &&
        !Departed_.contains(Listed.Name_))
      Changed |= GrantedTo_.insert(Listed.Name_).second;
  return Changed;
}

void HomeTracker::rebuild() {
  const View &Members = Raw_.view();
  std::vector<Member> Usable(Members.members().begin(),
                             Members.members().end());
  LiveCount_ = 0;
  LiveRank_ = 0;
  for (Member &Listed : Usable) {
    if (Listed.State_ != MemberState::Live)
      continue;
    const bool Own = Listed.Name_ == Self_;
    LiveRank_ += Listed.Name_ < Self_ ? 1 : 0;
    ++LiveCount_;
    const bool Ungranted = !Suspended_ && !GrantedTo_.contains(Listed.Name_);
    if (Own ? Suspended_ : Departed_.contains(Listed.Name_) || Ungranted)
      Listed.State_ = MemberState::Leaving;
  }
  const View IfStaying(Self_, std::move(Usable));
  EffectiveIfStaying_ = HomeMap(IfStaying);
  Effective_ = HomeMap(Leaving_ ? without(IfStaying, Self_) : IfStaying);
  if (Leaving_ && grantToRemaining())
    return rebuild();
  View Remaining = Members;
  for (const EntryName &Name : Departed_)
    Remaining = without(Remaining, Name);
  Remaining_ = HomeMap(std::move(Remaining));
  removeObsoleteFormerMaps();
}

} // namespace medlarmoor::flow
