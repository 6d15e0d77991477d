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

/// Reads the manifest of the environment.
struct ReadCurrentManifest {};
/// Reads an index part of the environment.
struct ReadIndexPart {
  PartId Id_;
};
/// Creates a part. A part that already exists counts as created.
struct StorePart {
  PartId Id_;
  std::string Text_;
};
/// Replaces the manifest if its object has version IfVersion_, or creates it if
/// IfVersion_ is 0 and there is no manifest.
struct StoreManifest {
  std::string Text_;
  std::uint64_t IfVersion_ = 0;
};

/// The document was accepted as version Version_.
struct Published {
  ConfigVersion Version_;
  /// The newest accepted version that is known. It is higher than Version_ if
  /// other writes were accepted later.
  ConfigVersion Newest_;
};
/// The current document already has the same contents; nothing was written.
struct Unchanged {
  ConfigVersion Version_;
};
/// Another write was accepted first; this one had no effect.
struct VersionConflict {
  /// The current version, 0 if it could not be read or there is none.
  ConfigVersion Version_;
};
/// The write had no effect, for example because the platform rejected it.
struct NotWritten {
  std::string Reason_;
};
/// It is unknown whether the write took effect.
struct Uncertain {
  std::string Reason_;
};
using PublishResult =
    std::variant<Published, Unchanged, VersionConflict, NotWritten, Uncertain>;

using PublisherAction = std::variant<ReadCurrentManifest, ReadIndexPart,
                                     StorePart, StoreManifest, PublishResult>;

/// An action to perform once the delay After_ has passed.
struct PublisherStep {
  PublisherAction Action_;
  Millis After_{0};
};
using PublisherSteps = std::vector<PublisherStep>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PUBLISHER_ACTION_HPP
