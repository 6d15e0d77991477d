#ifndef MEDLARMOOR_PEERS_FWD_HPP
#define MEDLARMOOR_PEERS_FWD_HPP

namespace medlarmoor::peers {

struct Announcement;
struct CollectionState;
struct ElectionTiming;
struct Member;
class MemberTable;
class ReaderElection;

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_FWD_HPP
