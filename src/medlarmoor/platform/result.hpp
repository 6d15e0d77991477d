#ifndef MEDLARMOOR_PLATFORM_RESULT_HPP
#define MEDLARMOOR_PLATFORM_RESULT_HPP

#include <medlarmoor/platform/instance.hpp>
#include <medlarmoor/platform/listing.hpp>
#include <medlarmoor/platform/object.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace medlarmoor::platform {

/// The object does not exist.
struct Absent {};

/// The write took effect.
struct Stored {
  /// The object's version now.
  std::uint64_t Version_ = 0;
};

/// The write did not take effect: the object has another version.
struct Conflict {
  /// The version of what is there; 0 when nothing is.
  std::uint64_t Version_ = 0;
};

/// The request itself is wrong and took no effect.
struct Refused {
  std::string Reason_;
};

/// The watch asked for a revision that the platform no longer keeps.
struct TooOld {};

/// No usable answer came. A write may have taken effect or not.
struct Unavailable {
  std::string Reason_;
};

using GetResult = std::variant<Object, Absent, Unavailable>;
using PutResult = std::variant<Stored, Conflict, Refused, Unavailable>;
using RemoveResult = std::variant<Stored, Absent, Conflict, Unavailable>;
using ListResult = std::variant<Listing, Unavailable>;
using WatchResult = std::variant<Listing, TooOld, Unavailable>;
using InstancesResult = std::variant<InstanceList, Unavailable>;

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_RESULT_HPP
