#ifndef MEDLARMOOR_HARNESS_STORED_OBJECT_HPP
#define MEDLARMOOR_HARNESS_STORED_OBJECT_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>

namespace medlarmoor::harness {

/// One state of one object of the platform.
struct StoredObject {
  std::string Kind_;
  std::string Name_;
  /// Counts the changes of this object, deletions among them.
  std::uint64_t Version_ = 0;
  /// Counts the changes of the whole store.
  std::uint64_t Revision_ = 0;
  /// JSON text.
  std::string Value_;
  bool Deleted_ = false;
  TimePoint Since_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_STORED_OBJECT_HPP
