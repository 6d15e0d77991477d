#ifndef MEDLARMOOR_MEMBERSHIP_MESH_HPP
#define MEDLARMOOR_MEMBERSHIP_MESH_HPP

#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/membership/action.hpp>
#include <medlarmoor/membership/entry_lifecycle.hpp>
#include <medlarmoor/membership/gossip_queue.hpp>
#include <medlarmoor/membership/list_schedule.hpp>
#include <medlarmoor/membership/listed_instance.hpp>
#include <medlarmoor/membership/member.hpp>
#include <medlarmoor/membership/peer_table.hpp>
#include <medlarmoor/membership/view.hpp>
#include <medlarmoor/wire/incoming.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::membership {

/// The interval at which Mesh::tick() has to be called.
inline constexpr Millis TickPeriod{50};
/// The maximum number of peers in one failure domain.
inline constexpr std::size_t MaxPeers = 1024;

/// Decides which entries of the failure domain are members. Heartbeats show
/// which entries are alive. In a small domain each entry receives them
/// directly. In a large domain a few successors watch each member and gossip a
/// suspicion, which the suspect can refute. The platform's list only determines
/// which addresses to contact. Performs no I/O: takes events and returns
/// actions.
class Mesh {
public:
  /// Seeds are the neighbours to contact while the platform does not answer.
  Mesh(EntryName Self, Ipv4 Address, config::MembershipSettings Timing,
       Incarnation Run, Clock Time, Random Source,
       std::vector<ListedInstance> Seeds = {});

  /// Performs the work that is due. Call it every TickPeriod.
  [[nodiscard]] Actions tick();
  /// Handles a verified message. Only membership messages have an effect. The
  /// first heartbeat of an unknown sender adds it to the peers.
  [[nodiscard]] Actions onMessage(const wire::Incoming &Received);
  /// Handles the refusal of a message with an outdated incarnation of From. If
  /// From is in fact a later run whose clock is behind, the answer makes it
  /// choose a higher incarnation.
  [[nodiscard]] Actions onStaleRun(const EntryName &From);
  /// Handles the result of reading the platform's list; List is empty if the
  /// read failed.
  [[nodiscard]] Actions
  onList(const std::optional<std::vector<ListedInstance>> &List);
  /// Records the configuration version in force here. Announces a higher one at
  /// the next tick.
  void setConfig(ConfigVersion Version);
  /// Begins a planned stop. From now on this entry is not a home.
  [[nodiscard]] Actions leave();
  /// Completes a planned stop after the handoff and sends the leave notice.
  [[nodiscard]] Actions completeLeave();

  [[nodiscard]] EntryState state() const noexcept { return Lifecycle_.state(); }
  /// Returns true if this entry may act as a home now: it is live and its last
  /// heartbeat is not older than its lease.
  [[nodiscard]] bool leaseValid() const;
  [[nodiscard]] const ViewPtr &view() const noexcept { return View_; }
  [[nodiscard]] Incarnation incarnation() const noexcept { return Run_; }
  /// Returns the address of a peer, or nothing if it is unknown or gone.
  [[nodiscard]] std::optional<Ipv4> address(const EntryName &Name) const;
  /// Returns the addresses of all members except this one.
  [[nodiscard]] std::vector<Ipv4> otherAddresses() const;
  /// Returns true if the failure domain is so large that updates spread by
  /// gossip instead of directly.
  [[nodiscard]] bool large() const;
  /// Returns the number of members that the platform's list does not contain,
  /// plus the number of listed live instances that are not members.
  [[nodiscard]] std::size_t listDisagreements() const;

private:
  void checkLease(Actions &NewActions);
  void changeIncarnation(Incarnation Run, Actions &NewActions);
  void advanceLifecycle(Actions &NewActions);
  void sendHeartbeat(Actions &NewActions);
  void contactInactive(Actions &NewActions);
  void detectFailures(Actions &NewActions);
  void sendUrgentUpdates(Actions &NewActions);
  void readList(Actions &NewActions);
  void publish(Actions &NewActions);

  void receive(const wire::Incoming &Received, const wire::Heartbeat &Message,
               Actions &NewActions);
  void receive(const wire::Incoming &Received, const wire::LeaveNotice &Message,
               Actions &NewActions);
  void receive(const wire::Incoming &Received,
               const wire::TableRequest &Message, Actions &NewActions);
  void receive(const wire::Incoming &Received, const wire::MemberTable &Message,
               Actions &NewActions);
  void receive(const wire::Incoming &, const wire::FlowUpdate &, Actions &) {}
  void receive(const wire::Incoming &, const wire::ConfigNotice &, Actions &) {}

  void applyUpdate(const wire::MemberUpdate &Update, Actions &NewActions);
  void applyUpdateAboutSelf(const wire::MemberUpdate &Update,
                            Actions &NewActions);
  void compareViews(const Peer &Sender, ViewId SenderView, Actions &NewActions);
  void requestTable(Actions &NewActions);
  void changePhase(wire::Phase Next);
  void markMembersChanged();

  [[nodiscard]] wire::Heartbeat heartbeat(std::size_t Messages);
  [[nodiscard]] wire::MemberUpdate ownUpdate() const;
  [[nodiscard]] std::vector<EntryName> activeNames() const;
  [[nodiscard]] std::vector<Ipv4>
  addresses(const std::vector<EntryName> &Names) const;
  [[nodiscard]] bool watchesList() const;
  void updateWatchedPeers();

  EntryName Self_;
  Ipv4 Address_;
  config::MembershipSettings Timing_;
  Incarnation Run_;
  Clock Time_;
  Random Source_;

  EntryLifecycle Lifecycle_;
  PeerTable Peers_;
  GossipQueue Gossip_;
  ListSchedule Schedule_;
  std::vector<ListedInstance> Listed_;
  ViewPtr View_;
  ConfigVersion Config_;

  wire::Phase Phase_ = wire::Phase::Joining;
  std::uint32_t Generation_ = 0;
  TimePoint LastHeartbeat_;
  TimePoint NextHeartbeat_;
  TimePoint JoiningSince_;
  TimePoint NextTableRequest_;
  TimePoint ViewChangedAt_;
  Nanos TableBackoff_{0};
  bool HasMemberTable_ = false;
  bool UrgentPending_ = false;
  bool MembersChanged_ = true;
  bool WatchesList_ = true;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_MESH_HPP
