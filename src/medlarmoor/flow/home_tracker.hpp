#ifndef MEDLARMOOR_FLOW_HOME_TRACKER_HPP
#define MEDLARMOOR_FLOW_HOME_TRACKER_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/home_map.hpp>
#include <medlarmoor/membership/view.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarmoor::flow {

/// Tracks which entry is the home of a flow, and which previous home has not
/// handed off to it yet.
///
/// The home of a flow changes with the view, and the views of two entries may
/// differ. An entry that gains flows therefore sends a claim to their previous
/// homes; each of them hands off what it knows and then sends a grant. Until
/// then the new home forwards packets for which it has no record to the
/// previous home, which continues to decide. A claim is granted only if both
/// entries see the same view. An entry that vanishes from the view need not
/// grant.
class HomeTracker {
public:
  /// An entry that sees no other accepts flows once SoloWait has passed.
  HomeTracker(EntryName Self, Nanos SoloWait);

  void adopt(const membership::View &Members, TimePoint Now);
  /// Makes this entry home of no flow until the next view, after a pause.
  void suspend();
  /// Starts to leave: the other entries become home of this entry's flows.
  void leave();

  /// Records that this entry has handed off to Name, which sees the same view.
  void grant(const EntryName &Name);
  /// Records that Name has handed off to this entry under the view Seen.
  /// FromJoining: Name was joining itself and had no flows of its own.
  void onGranted(const EntryName &Name, ViewId Seen, bool FromJoining,
                 TimePoint Now);
  /// Records that Name has handed off to the members of the view Seen and
  /// leaves. ToSelf: this entry was among those that Name handed off to.
  void onLeft(const EntryName &Name, ViewId Seen, bool ToSelf, TimePoint Now);
  /// Stops waiting for late packets from previous homes that have handed off.
  void tick(TimePoint Now);

  /// Returns false while this entry cannot be home of any flow.
  [[nodiscard]] bool active(TimePoint Now) const noexcept;
  /// Returns true while some previous home has not handed off.
  [[nodiscard]] bool awaitsGrants() const noexcept {
    return !PendingChanges_.empty();
  }
  /// Returns true while this entry is new, or back from a pause, and has not
  /// received everything that it is home of.
  [[nodiscard]] bool joining() const noexcept { return Joining_; }
  [[nodiscard]] bool leaving() const noexcept { return Leaving_; }
  [[nodiscard]] bool suspended() const noexcept { return Suspended_; }
  /// Returns true if this entry has handed off to Name.
  [[nodiscard]] bool isGranted(const EntryName &Name) const {
    return GrantedTo_.contains(Name);
  }

  /// Returns the members as the control thread sees them.
  [[nodiscard]] const membership::View &view() const noexcept {
    return Raw_.view();
  }
  /// Returns the home to which this entry forwards a flow: the home by the
  /// view, leaving out members that have left or that this entry has not handed
  /// off to.
  [[nodiscard]] const membership::Member *home(FlowId Flow,
                                               std::uint64_t ServiceSeed) {
    return Effective_.home(Flow, ServiceSeed);
  }
  [[nodiscard]] const membership::Member *
  homeWithout(FlowId Flow, std::uint64_t ServiceSeed,
              const EntryName &Excluded) const {
    return Effective_.homeWithout(Flow, ServiceSeed, Excluded);
  }
  /// Returns true if this entry would be home of the flow if Other were gone,
  /// and if this entry did not leave itself.
  [[nodiscard]] bool isHomeWithout(const membership::Member &Other, FlowId Flow,
                                   std::uint64_t ServiceSeed) const {
    return isSelf(
        EffectiveIfStaying_.homeWithout(Flow, ServiceSeed, Other.Name_));
  }
  [[nodiscard]] bool isSelf(const membership::Member *Member) const noexcept {
    return Member != nullptr && Member->Name_ == Self_;
  }
  /// Returns the previous home that may still know the flow, or null. A
  /// previous home no longer decides on first packets once it has granted.
  /// Except is an entry that is known not to have the flow.
  [[nodiscard]] const membership::Member *
  previous(FlowId Flow, std::uint64_t ServiceSeed, bool FirstPacket,
           const EntryName &Except = EntryName()) const;
  /// Returns true if Departed, which has left, would be home of the flow if
  /// Home were gone.
  [[nodiscard]] bool wasHomeWithout(const membership::Member &Home,
                                    const EntryName &Departed, FlowId Flow,
                                    std::uint64_t ServiceSeed) const;
  /// Returns a member that this entry has not handed off to, but to which the
  /// former home of the flow may have handed off before it left; or null.
  [[nodiscard]] const membership::Member *contender(FlowId Flow,
                                                    std::uint64_t ServiceSeed);
  /// Returns the names of the previous homes that have not handed off yet.
  [[nodiscard]] std::set<EntryName> awaited() const;
  /// Returns the members to which this entry has to send a claim.
  [[nodiscard]] std::vector<EntryName> pendingClaims() const;
  /// Returns the number of live members that admit flows.
  [[nodiscard]] std::size_t liveCount() const noexcept { return LiveCount_; }
  /// Returns this entry's rank by name among the live members.
  [[nodiscard]] std::size_t liveRank() const noexcept { return LiveRank_; }

private:
  /// A previous home whose handoff this entry waits for.
  struct Awaited {
    EntryName Name_;
    std::optional<TimePoint> GrantedAt_;
  };
  /// A change of the view after which some previous homes are awaited, with the
  /// homes before the change.
  struct PendingChange {
    HomeMap Map_;
    std::vector<Awaited> Awaited_;
  };

  void startJoining();
  void awaitLeavingMembers(const membership::View &Previous);
  void dropAbsent();
  void addPendingChange(membership::View Map, std::vector<Awaited> Homes);
  [[nodiscard]] bool grantToRemaining();
  void rebuild();
  void removeCompletedChanges();
  void removeObsoleteFormerMaps();

  EntryName Self_;
  Nanos SoloWait_;
  HomeMap Raw_;
  HomeMap Effective_;
  /// Like Effective_, but without taking into account that this entry leaves.
  HomeMap EffectiveIfStaying_;
  /// The view without members that have left.
  HomeMap Remaining_;
  std::optional<TimePoint> FirstView_;
  bool Joining_ = true;
  bool Suspended_ = false;
  bool Leaving_ = false;
  /// Members that this entry has handed off to.
  std::set<EntryName> GrantedTo_;
  /// Members that have handed off to this entry.
  std::set<EntryName> GrantedBy_;
  /// Members that have sent a leave notice.
  std::set<EntryName> Departed_;
  std::vector<PendingChange> PendingChanges_;
  /// For each member that left, the homes while it was present. Kept until this
  /// entry has handed off to all others.
  std::map<EntryName, HomeMap> FormerMaps_;
  std::size_t LiveCount_ = 1;
  std::size_t LiveRank_ = 0;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_HOME_TRACKER_HPP
