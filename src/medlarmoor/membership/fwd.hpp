#ifndef MEDLARMOOR_MEMBERSHIP_FWD_HPP
#define MEDLARMOOR_MEMBERSHIP_FWD_HPP

#include <memory>

namespace medlarmoor::membership {

enum class ApplyResult : unsigned char;
enum class EntryState : unsigned char;
enum class MemberState : unsigned char;
struct ControlMailboxes;
struct ControlStatus;
struct ListedInstance;
struct Member;
struct Peer;
class ControlThread;
class EntryLifecycle;
class GossipQueue;
class ListSchedule;
class Mesh;
class PeerTable;
class View;
using ViewPtr = std::shared_ptr<const View>;

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_FWD_HPP
