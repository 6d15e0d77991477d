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

/// How often the mesh wants tick() to be called.
inline constexpr Millis TickPeriod{50};
/// The greatest number of peers of one failure domain.
inline constexpr std::size_t MaxPeers = 1024;

/// Decides which entries of the failure domain are members. Heartbeats say who
/// lives: directly in a small domain; in a large one a few successors watch
/// each member and pass a suspicion on, which the suspect may refute. The
/// platform's list only says whom to contact. Without I/O: events go in,
/// actions come out.
class Mesh {
public:
  /// Seeds are neighbours to contact when the platform does not answer.
  Mesh(EntryName Self, Ipv4 Address, config::MembershipSettings Timing,
       Incarnation Run, Clock Time, Random Source,
       std::vector<ListedInstance> Seeds = {});

  /// Time has passed.
  [[nodiscard]] Actions tick();
  /// A verified message has arrived. Only messages of membership have an
  /// effect; the first of an unknown sender admits it.
  [[nodiscard]] Actions onMessage(const wire::Incoming &Each);
  /// A message of an earlier run of From was refused. If From is in truth a
  /// later run whose clock is behind, the answer lets it move ahead.
  [[nodiscard]] Actions onStaleRun(const EntryName &From);
  /// The list was read, or could not be read when List is empty.
  [[nodiscard]] Actions
  onList(const std::optional<std::vector<ListedInstance>> &List);
  /// The version in force here has changed; the others learn it at once.
  void setConfig(ConfigVersion Version);
  /// Begins a planned stop: homes nothing from now on.
  [[nodiscard]] Actions leave();
  /// Ends a planned stop: all has been handed over.
  [[nodiscard]] Actions farewell();

  [[nodiscard]] EntryState state() const noexcept { return Lifecycle_.state(); }
  /// Whether this entry may act as a home now: it is live and its last
  /// heartbeat is no older than its lease.
  [[nodiscard]] bool leaseValid() const;
  [[nodiscard]] const ViewPtr &view() const noexcept { return View_; }
  [[nodiscard]] Incarnation incarnation() const noexcept { return Run_; }
  /// Where to reach a member; nothing when it takes no part.
  [[nodiscard]] std::optional<Ipv4> address(const EntryName &Name) const;
  /// The addresses of all members but this one.
  [[nodiscard]] std::vector<Ipv4> others() const;
  /// Whether the domain is so large that news spread from member to member.
  [[nodiscard]] bool large() const;
  /// Members that the list does not name, and listed live instances that are
  /// no members.
  [[nodiscard]] std::size_t listDisagreements() const;

private:
  void checkLease(Actions &Out);
  void restart(Incarnation Run, Actions &Out);
  void advanceLifecycle(Actions &Out);
  void beat(Actions &Out);
  void contact(Actions &Out);
  void judge(Actions &Out);
  void flushUrgent(Actions &Out);
  void readList(Actions &Out);
  void publish(Actions &Out);

  void receive(const wire::Incoming &From, const wire::Heartbeat &Each,
               Actions &Out);
  void receive(const wire::Incoming &From, const wire::Farewell &Each,
               Actions &Out);
  void receive(const wire::Incoming &From, const wire::TableRequest &Each,
               Actions &Out);
  void receive(const wire::Incoming &From, const wire::MemberTable &Each,
               Actions &Out);
  void receive(const wire::Incoming &, const wire::FlowUpdate &, Actions &) {}
  void receive(const wire::Incoming &, const wire::ConfigNotice &, Actions &) {}

  void learn(const wire::MemberNews &Fact, Actions &Out);
  void learnOfSelf(const wire::MemberNews &Fact, Actions &Out);
  void compareViews(const Peer &From, ViewId Theirs, Actions &Out);
  void requestTable(Actions &Out);
  void changePhase(wire::Phase Next);
  void membersChanged();

  [[nodiscard]] wire::Heartbeat heartbeat(std::size_t Messages);
  [[nodiscard]] wire::MemberNews ownNews() const;
  [[nodiscard]] std::vector<EntryName> activeNames() const;
  [[nodiscard]] std::vector<Ipv4>
  addresses(const std::vector<EntryName> &Names) const;
  [[nodiscard]] bool watchesList() const;
  void rewatch();

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
  TimePoint LastBeat_;
  TimePoint NextBeat_;
  TimePoint JoinedAt_;
  TimePoint NextTableRequest_;
  TimePoint ViewChanged_;
  Nanos TableBackoff_{0};
  bool HasTable_ = false;
  bool Urgent_ = false;
  bool Changed_ = true;
  bool WatchesList_ = true;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_MESH_HPP
