#ifndef MEDLARMOOR_OBJECTS_COLLECTION_CODEC_HPP
#define MEDLARMOOR_OBJECTS_COLLECTION_CODEC_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/objects/page.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlarmoor::objects {

/// How one collection of an object store is spoken on the wire.
template <typename Item> struct CollectionCodec {
  /// The target of a GET that lists objects behind a name; all when empty.
  std::function<std::string(const std::string &After)> ListTarget_;
  /// The target of a GET that waits for changes after a revision.
  std::function<std::string(std::uint64_t Revision, Millis Wait)> WatchTarget_;
  /// Reads the body of a list's or a watch's answer; nothing, with a reason,
  /// when it is none.
  std::function<std::optional<Page<Item>>(const std::string &Body,
                                          std::string &Reason)>
      Read_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_COLLECTION_CODEC_HPP
