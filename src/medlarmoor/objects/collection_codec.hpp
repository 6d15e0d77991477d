#ifndef MEDLARMOOR_OBJECTS_COLLECTION_CODEC_HPP
#define MEDLARMOOR_OBJECTS_COLLECTION_CODEC_HPP

#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/net/http_headers.hpp>
#include <medlarmoor/objects/page.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlarmoor::objects {

/// Encodes the requests for one collection of an object store and decodes the
/// responses.
template <typename Item> struct CollectionCodec {
  /// Returns the target of a GET that lists the objects after a name; all
  /// objects if After is empty.
  std::function<std::string(const std::string &After)> ListTarget_;
  /// Returns the target of a GET that waits for changes after the revision with
  /// the number Revision, up to Wait.
  std::function<std::string(std::uint64_t Revision, Millis Wait)> WatchTarget_;
  /// Decodes the body of the response to a list or a watch. Returns no value
  /// and sets Reason if the body is invalid.
  std::function<std::optional<Page<Item>>(const std::string &Body,
                                          std::string &Reason)>
      Read_;
  /// Returns the epoch of the store that answered with these headers; the first
  /// one if they do not state it.
  std::function<StoreEpoch(const net::HttpHeaders &Headers)> ReadEpoch_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_COLLECTION_CODEC_HPP
