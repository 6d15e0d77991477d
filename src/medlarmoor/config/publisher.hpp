#ifndef MEDLARMOOR_CONFIG_PUBLISHER_HPP
#define MEDLARMOOR_CONFIG_PUBLISHER_HPP

#include <medlarmoor/config/manifest.hpp>
#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/publisher_action.hpp>
#include <medlarmoor/core/clock.hpp>

#include <optional>
#include <set>
#include <string>

namespace medlarmoor::config {

/// A document to publish.
struct Publication {
  PartSet Parts_;
  /// The version that the operator expects to replace; nullopt replaces any
  /// version.
  std::optional<ConfigVersion> ExpectedVersion_;
  /// For a promotion, the document that it copies.
  std::optional<Origin> Origin_;
  /// Random text that is unique to this write and identifies it.
  std::string Token_;
};

/// Decides how one document is written to the platform: parts first, then the
/// manifest by conditional update, so that readers see either the old or the
/// complete new document. After a lost answer it looks for its own token in the
/// current manifest and retries only if that cannot apply the write twice.
/// Returns steps and takes their results; does no I/O.
class Publisher {
public:
  /// Calls that fail are retried until Timeout has passed.
  Publisher(Publication Document, Clock Time, Millis Timeout);

  /// Returns the first step.
  [[nodiscard]] PublisherSteps start();
  /// Records the epoch that the platform states with an answer. To be called
  /// before the answer is processed. Returns steps if the platform has been
  /// restored during the write; these end it, and the answer is not processed.
  [[nodiscard]] PublisherSteps onEpoch(StoreEpoch Epoch);
  /// Processes the result of a read of the manifest: the object's version and
  /// text, with version 0 if there is no manifest.
  [[nodiscard]] PublisherSteps onManifest(std::uint64_t ObjectVersion,
                                          const std::string &Text);
  /// Records that the manifest could not be read.
  [[nodiscard]] PublisherSteps onManifestReadFailed(const std::string &Reason);
  /// Processes the text of an index part, or nullopt if it could not be read.
  [[nodiscard]] PublisherSteps
  onIndexPart(const PartId &Id, const std::optional<std::string> &Text);
  /// Records that the part exists.
  [[nodiscard]] PublisherSteps onPartStored(const PartId &Id);
  /// Records that it is unknown whether the part was stored.
  [[nodiscard]] PublisherSteps onPartUncertain(const PartId &Id,
                                               const std::string &Reason);
  /// Records that the manifest was replaced.
  [[nodiscard]] PublisherSteps onManifestStored();
  /// Records that the manifest's object had another version.
  [[nodiscard]] PublisherSteps onManifestConflict();
  /// Records that it is unknown whether the manifest was replaced.
  [[nodiscard]] PublisherSteps onManifestUncertain();
  /// Records that the platform rejected the request itself.
  [[nodiscard]] PublisherSteps onRefused(const std::string &Reason);

private:
  [[nodiscard]] PublisherSteps
  resolveSentWrite(std::uint64_t ObjectVersion,
                   const std::optional<Manifest> &Current);
  [[nodiscard]] PublisherSteps readReplacedIndex();
  [[nodiscard]] PublisherSteps storeParts();
  [[nodiscard]] PublisherSteps storeManifest();
  [[nodiscard]] PublisherSteps retryRead(const std::string &Reason);
  [[nodiscard]] PublisherSteps giveUp(const std::string &Reason) const;
  [[nodiscard]] Manifest nextManifest() const;
  /// Returns true if the base was written before the platform was restored, so
  /// that versions after it may be in force that the platform has lost.
  [[nodiscard]] bool isBaseRestored() const;
  [[nodiscard]] bool isPastDeadline() const;

  Publication Document_;
  Clock Clock_;
  TimePoint Deadline_;
  IndexParts Index_;
  /// The manifest that this write replaces, and the version of its object.
  Manifest Base_;
  std::uint64_t BaseObjectVersion_ = 0;
  /// The epoch of the platform; no value if it does not state it.
  std::optional<StoreEpoch> Epoch_;
  /// The parts that the base lists in the index parts that this write replaces.
  std::set<PartId> BaseParts_;
  /// The parts that the base does not have.
  std::set<PartId> AddedParts_;
  std::set<PartId> IndexPartsToRead_;
  /// False if an index part of the base could not be read; the manifest then
  /// carries no delta.
  bool BasePartsKnown_ = true;
  std::map<PartId, std::string> PartsToStore_;
  /// Whether the manifest was sent. From then on, a manifest that is read
  /// serves to determine whether the write took effect.
  bool ManifestSent_ = false;
  /// Whether the answer to a write of the manifest was lost.
  bool AnswerLost_ = false;
  bool ConflictSeen_ = false;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PUBLISHER_HPP
