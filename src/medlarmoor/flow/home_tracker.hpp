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

/// Knows which entry is the home of a flow, and which one was before and has
/// not handed over yet.
///
/// The home of a flow changes with the view, but the views of two entries may
/// differ. So an entry that gains flows asks (claims) those who were home
/// before; each hands over what it knows and says so (grants). Until then the
/// new home passes packets of which it has no record to the home before, and
/// the home before goes on deciding. A claim is granted only when both see the
/// same view. An entry that vanishes from the view need not grant.
class HomeTracker {
public:
  /// A lone entry takes flows once it has seen nobody for SoloWait.
  HomeTracker(EntryName Self, Nanos SoloWait);

  void adopt(const membership::View &Members, TimePoint Now);
  /// This entry was paused: it is nobody's home until the next view.
  void suspend();
  /// This entry begins to leave: the others become home of its flows.
  void leave();

  /// Name sees the same view and has been handed what is its own.
  void grant(const EntryName &Name);
  /// Name has handed over to this entry. FromJoining: it had nothing of its
  /// own, being new itself.
  void onGranted(const EntryName &Name, ViewId Seen, bool FromJoining,
                 TimePoint Now);
  /// Name has handed over to the members of the view Seen and leaves. ToSelf:
  /// this entry was among those that it handed over to.
  void onLeft(const EntryName &Name, ViewId Seen, bool ToSelf, TimePoint Now);
  /// Ends the waiting for late packets of homes before.
  void tick(TimePoint Now);

  /// False while this entry cannot be home of anything.
  [[nodiscard]] bool active(TimePoint Now) const noexcept;
  /// True while some home before has not handed over.
  [[nodiscard]] bool awaitsGrants() const noexcept {
    return !PendingChanges_.empty();
  }
  /// New or back from a pause, and not yet handed everything.
  [[nodiscard]] bool joining() const noexcept { return Joining_; }
  [[nodiscard]] bool leaving() const noexcept { return Leaving_; }
  [[nodiscard]] bool suspended() const noexcept { return Suspended_; }
  [[nodiscard]] bool isGranted(const EntryName &Name) const {
    return GrantedTo_.contains(Name);
  }

  /// The members as the control thread sees them.
  [[nodiscard]] const membership::View &view() const noexcept {
    return Raw_.view();
  }
  /// The home that this entry sends a flow to: by the view, without members
  /// that have left or that it has not handed over to.
  [[nodiscard]] const membership::Member *home(FlowId Flow,
                                               std::uint64_t ServiceSeed) {
    return Effective_.home(Flow, ServiceSeed);
  }
  [[nodiscard]] const membership::Member *
  homeWithout(FlowId Flow, std::uint64_t ServiceSeed,
              const EntryName &Without) const {
    return Effective_.homeWithout(Flow, ServiceSeed, Without);
  }
  /// True when this entry would be home of the flow if To were not there, and
  /// if it did not leave itself.
  [[nodiscard]] bool isHomeWithout(const membership::Member &To, FlowId Flow,
                                   std::uint64_t ServiceSeed) const {
    return isSelf(EffectiveIfStaying_.homeWithout(Flow, ServiceSeed, To.Name_));
  }
  [[nodiscard]] bool isSelf(const membership::Member *Member) const noexcept {
    return Member != nullptr && Member->Name_ == Self_;
  }
  /// The home before this entry that may still know the flow, or null. It no
  /// longer decides on first packets once it has granted. Except is an entry
  /// that is known not to know the flow.
  [[nodiscard]] const membership::Member *
  previous(FlowId Flow, std::uint64_t ServiceSeed, bool FirstPacket,
           const EntryName &Except = EntryName()) const;
  /// True when Name, which has left, would be home of the flow if Home were
  /// not there.
  [[nodiscard]] bool wasHomeWithout(const membership::Member &Home,
                                    const EntryName &Name, FlowId Flow,
                                    std::uint64_t ServiceSeed) const;
  /// A member that this entry has not handed over to, but to which the former
  /// home of the flow may have before it left; or null.
  [[nodiscard]] const membership::Member *contender(FlowId Flow,
                                                    std::uint64_t ServiceSeed);
  /// The homes before that have not handed over yet, by name.
  [[nodiscard]] std::set<EntryName> awaited() const;
  /// Members that this entry has to claim from.
  [[nodiscard]] std::vector<EntryName> pendingClaims() const;
  /// Live members that admit flows, and this entry's place among them.
  [[nodiscard]] std::size_t liveCount() const noexcept { return LiveCount_; }
  [[nodiscard]] std::size_t livePlace() const noexcept { return LivePlace_; }

private:
  /// A home before that this entry waits for.
  struct Awaited {
    EntryName Name_;
    std::optional<TimePoint> GrantedAt_;
  };
  /// One change of the view after which some homes before are awaited.
  struct PendingChange {
    HomeMap Map_;
    std::vector<Awaited> Awaited_;
  };

  void startJoining();
  void awaitLeavingMembers(const membership::View &Before);
  void dropAbsent();
  void addPendingChange(membership::View Map, std::vector<Awaited> Of);
  [[nodiscard]] bool grantToRemaining();
  void rebuild();
  void removeCompletedChanges();
  void removeObsoleteFormerMaps();

  EntryName Self_;
  Nanos SoloWait_;
  HomeMap Raw_;
  HomeMap Effective_;
  /// As Effective_, but this entry does not leave.
  HomeMap EffectiveIfStaying_;
  /// The view without those that have left.
  HomeMap Remaining_;
  std::optional<TimePoint> FirstView_;
  bool Joining_ = true;
  bool Suspended_ = false;
  bool Leaving_ = false;
  std::set<EntryName> GrantedTo_;
  /// Those that have granted to this entry.
  std::set<EntryName> GrantedBy_;
  std::set<EntryName> Departed_;
  std::vector<PendingChange> PendingChanges_;
  /// For each member that left, the homes while it was there. Kept until this
  /// entry has handed over to all others.
  std::map<EntryName, HomeMap> FormerMaps_;
  std::size_t LiveCount_ = 1;
  std::size_t LivePlace_ = 0;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_HOME_TRACKER_HPP
