#ifndef MEDLARMOOR_TEST_CONFIG_DOCUMENTS_HPP
#define MEDLARMOOR_TEST_CONFIG_DOCUMENTS_HPP

#include <medlarmoor/config/read_environment.hpp>

namespace medlarmoor::test {

/// The example document of Muscat, with a mark that tells variants apart: the
/// slots of the first upstream of each service.
inline config::Environment variant(std::uint32_t Mark) {
  Findings Found;
  config::Environment Out =
      config::readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                                  Found)
          .value();
  for (config::Service &Each : Out.Services_)
    Each.Upstreams_[0].Slots_ = Mark;
  return Out;
}

/// The mark of a variant; 0 when the services do not agree on one.
inline std::uint32_t markOf(const config::Environment &In) {
  const std::uint32_t Mark = In.Services_.at(0).Upstreams_.at(0).Slots_;
  for (const config::Service &Each : In.Services_)
    if (Each.Upstreams_.at(0).Slots_ != Mark)
      return 0;
  return Mark;
}

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_CONFIG_DOCUMENTS_HPP
