#ifndef MEDLARMOOR_CORE_PLACE_HPP
#define MEDLARMOOR_CORE_PLACE_HPP

#include <cstdint>
#include <string>

namespace medlarmoor {

/// A position in a text. Lines and columns count from 1; 0 means the whole
/// file.
struct Place {
  std::string File_;
  std::uint32_t Line_ = 0;
  std::uint32_t Column_ = 0;

  friend bool operator==(const Place &, const Place &) = default;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_PLACE_HPP
