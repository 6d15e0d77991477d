#ifndef MEDLARMOOR_TEST_CONFIG_DOCUMENTS_HPP
#define MEDLARMOOR_TEST_CONFIG_DOCUMENTS_HPP

#include <medlarmoor/config/read_environment.hpp>

namespace medlarmoor::test {

/// Returns the example document muscat.toml with a marker that distinguishes
/// variants: the number of slots of the first upstream of each service.
inline config::Environment documentVariant(std::uint32_t Marker) {
  Findings Errors;
  config::Environment Document =
      config::readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                                  Errors)
          .value();
  for (config::Service &Service : Document.Services_)
    Service.Upstreams_[0].Slots_ = Marker;
  return Document;
}

/// Returns the marker of a variant, or 0 if the services have different
/// markers.
inline std::uint32_t markerOf(const config::Environment &Document) {
  const std::uint32_t Marker = Document.Services_.at(0).Upstreams_.at(0).Slots_;
  for (const config::Service &Service : Document.Services_)
    if (Service.Upstreams_.at(0).Slots_ != Marker)
      return 0;
  return Marker;
}

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_CONFIG_DOCUMENTS_HPP
