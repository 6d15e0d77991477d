#ifndef MEDLARMOOR_PLATFORM_OBJECT_HPP
#define MEDLARMOOR_PLATFORM_OBJECT_HPP

#include <cstdint>
#include <string>

namespace medlarmoor::platform {

/// One object of the platform's store.
struct Object {
  std::string Kind_;
  std::string Name_;
  /// Grows with each change of this object; 0 means that it does not exist.
  std::uint64_t Version_ = 0;
  /// JSON text with sorted keys and without spaces, whatever form it was
  /// stored in, so that equal values are equal texts.
  std::string Value_;
  /// Only in answers of a watch: the object is gone.
  bool Deleted_ = false;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_OBJECT_HPP
