#ifndef MEDLARMOOR_PLATFORM_OBJECT_HPP
#define MEDLARMOOR_PLATFORM_OBJECT_HPP

#include <cstdint>
#include <string>

namespace medlarmoor::platform {

/// One object in the platform's store.
struct Object {
  std::string Kind_;
  std::string Name_;
  /// Increases with each change of this object; 0 if it does not exist.
  std::uint64_t Version_ = 0;
  /// JSON text with sorted keys and without spaces, regardless of the form in
  /// which it was stored, so that equal values have equal texts.
  std::string Value_;
  /// The object was deleted. Set only in the answer to a watch.
  bool Deleted_ = false;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_OBJECT_HPP
