#ifndef MEDLARMOOR_HARNESS_PASSED_BYTES_HPP
#define MEDLARMOOR_HARNESS_PASSED_BYTES_HPP

#include <cstdint>
#include <map>
#include <string>

namespace medlarmoor::harness {

/// Bytes of payload that the fault proxy has carried, both ways together, by
/// port class.
using PassedBytes = std::map<std::string, std::uint64_t>;

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_PASSED_BYTES_HPP
