#ifndef MEDLARMOOR_PEERS_FWD_HPP
#define MEDLARMOOR_PEERS_FWD_HPP

namespace medlarmoor::peers {

struct Adoption;
struct Announcement;
struct CollectionState;
class CollectionSync;
class SharedReading;
struct SyncActions;
struct SendAnnouncement;
struct PullChanges;
struct FreshnessTiming;
struct Member;
class MemberTable;
struct RandomFanout;
struct AllMembers;
enum class SyncStep : unsigned char;

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_FWD_HPP
