#ifndef MEDLARMOOR_OBJECTS_FWD_HPP
#define MEDLARMOOR_OBJECTS_FWD_HPP

namespace medlarmoor::objects {

class Follower;
struct FollowerTiming;
template <typename Item> struct CollectionCodec;
template <typename Item> struct Page;
template <typename Item> struct StoredItem;
template <typename Item> class AnswerProcessor;
template <typename Item> class CollectionReader;

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FWD_HPP
