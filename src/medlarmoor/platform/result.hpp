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
  /// The object's new version.
  std::uint64_t Version_ = 0;
};

/// The write did not take effect: the object has another version.
struct Conflict {
  /// The object's current version; 0 if it does not exist.
  std::uint64_t Version_ = 0;
};

/// The request itself is invalid and had no effect.
struct Refused {
  std::string Reason_;
};

/// The watch asked for changes after a revision whose history the platform no
/// longer keeps.
struct TooOld {};

/// No usable answer was received. A write may or may not have taken effect.
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
