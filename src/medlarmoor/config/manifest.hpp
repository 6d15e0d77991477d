#ifndef MEDLARMOOR_CONFIG_MANIFEST_HPP
#define MEDLARMOOR_CONFIG_MANIFEST_HPP

#include <medlarmoor/config/part.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/store_revision.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// The changes between two versions of a document.
struct Delta {
  /// The version that the delta applies to; 0 is the empty document.
  ConfigVersion BaseVersion_;
  PartSet Added_;
  std::vector<PartId> Removed_;
};

/// The trial version that a promoted version was copied from.
struct Origin {
  std::string Environment_;
  ConfigVersion Version_;

  friend bool operator==(const Origin &, const Origin &) = default;
};

/// An accepted write: its version and the random token of its writer.
struct AcceptedWrite {
  ConfigVersion Version_;
  std::string Token_;

  friend bool operator==(const AcceptedWrite &,
                         const AcceptedWrite &) = default;
};

/// A small object that identifies one version of a document by the ids of its
/// index parts. It is replaced by conditional updates only; the parts that it
/// refers to are immutable.
struct Manifest {
  ConfigVersion Version_;
  /// A random value by which the writer recognizes its own write.
  std::string Token_;
  /// The ids of the index parts, sorted.
  std::vector<PartId> Index_;
  /// The most recent accepted writes before this one, newest first.
  std::vector<AcceptedWrite> PreviousWrites_;
  std::optional<Origin> Origin_;
  /// The epoch of the store in which the manifest was written; no value if the
  /// writer did not know it.
  std::optional<StoreEpoch> Epoch_;
  /// The change itself, if it is small. A reader that has the base version of
  /// the delta needs to fetch nothing else.
  std::optional<Delta> Delta_;

  /// Returns the JSON text, which readManifest() parses.
  [[nodiscard]] std::string text() const;
};

/// Parses a manifest. Returns nullopt and sets Reason if Text is malformed.
[[nodiscard]] std::optional<Manifest> readManifest(const std::string &Text,
                                                   std::string &Reason);

/// The maximum number of previous accepted writes that a manifest lists.
inline constexpr std::size_t MaxPreviousWrites = 32;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_MANIFEST_HPP
