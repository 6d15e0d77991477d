#ifndef MEDLARMOOR_CONFIG_PUBLISHER_ACTION_HPP
#define MEDLARMOOR_CONFIG_PUBLISHER_ACTION_HPP

#include <medlarmoor/config/part.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarmoor::config {

/// Read the manifest of the environment.
struct ReadPublished {};
/// Read an index part of the environment.
struct ReadIndexPart {
  PartId Id_;
};
/// Create a part; one that exists already is as good.
struct StorePart {
  PartId Id_;
  std::string Text_;
};
/// Replace the manifest if its object has this version; 0: if there is none.
struct StoreManifest {
  std::string Text_;
  std::uint64_t IfVersion_ = 0;
};

/// The document is accepted with this version.
struct Published {
  ConfigVersion Version_;
  /// The version that was accepted after it meanwhile, or the same.
  ConfigVersion Newest_;
};
/// The document is what is there already; nothing was written.
struct Unchanged {
  ConfigVersion Version_;
};
/// Another write came first; this one took no effect.
struct Overtaken {
  /// The version that is there now, 0 when it could not be read.
  ConfigVersion Version_;
};
/// The platform did not take the write; it had no effect.
struct NotWritten {
  std::string Reason_;
};
/// The write may have taken effect or not.
struct Uncertain {
  std::string Reason_;
};
using PublishResult =
    std::variant<Published, Unchanged, Overtaken, NotWritten, Uncertain>;

using PublisherAction = std::variant<ReadPublished, ReadIndexPart, StorePart,
                                     StoreManifest, PublishResult>;

/// What to do next, after a delay.
struct PublisherStep {
  PublisherAction Action_;
  Millis After_{0};
};
using PublisherSteps = std::vector<PublisherStep>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PUBLISHER_ACTION_HPP
