#ifndef MEDLARMOOR_CONFIG_MANIFEST_HPP
#define MEDLARMOOR_CONFIG_MANIFEST_HPP

#include <medlarmoor/config/part.hpp>
#include <medlarmoor/core/ids.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// What changes between two versions of a document.
struct Delta {
  /// The version that it starts from; 0 is the empty document.
  ConfigVersion From_;
  PartSet Added_;
  std::vector<PartId> Removed_;
};

/// The trial version that a promoted version was copied from.
struct Origin {
  std::string Environment_;
  ConfigVersion Version_;

  friend bool operator==(const Origin &, const Origin &) = default;
};

/// One accepted write: its version and the random token of its writer.
struct Accepted {
  ConfigVersion Version_;
  std::string Token_;

  friend bool operator==(const Accepted &, const Accepted &) = default;
};

/// The small object that names one version of a document. It is replaced by
/// conditional update only; what it names never changes.
struct Manifest {
  ConfigVersion Version_;
  /// Drawn by the writer, to know its own write again.
  std::string Token_;
  /// The index parts, sorted.
  std::vector<PartId> Index_;
  /// The newest accepted writes before this one, newest first.
  std::vector<Accepted> Before_;
  std::optional<Origin> Origin_;
  /// The change itself, where it is small: who has the version before needs to
  /// fetch nothing else.
  std::optional<Delta> Delta_;

  /// The JSON form, which readManifest() reads.
  [[nodiscard]] std::string text() const;
};

/// Reads a manifest; nothing, with Reason set, when it is malformed.
[[nodiscard]] std::optional<Manifest> readManifest(const std::string &Text,
                                                   std::string &Reason);

/// Accepted writes that a manifest remembers before its own.
inline constexpr std::size_t WritesRemembered = 32;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_MANIFEST_HPP
