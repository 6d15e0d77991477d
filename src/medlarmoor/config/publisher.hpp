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

/// What is to be published.
struct Publication {
  PartSet Parts_;
  /// The version that the operator saw; nothing takes whatever is there.
  std::optional<ConfigVersion> Seen_;
  /// Of a promotion: what it copies.
  std::optional<Origin> Origin_;
  /// Random text that no other write has.
  std::string Token_;
};

/// Decides how one document is written to the platform: parts first, then the
/// manifest by conditional update, so that readers see the old document or the
/// whole new one. After a lost answer it looks for its own token in what is
/// there and tries again only where that cannot double the write. Steps go
/// out, results come in; it does no I/O.
class Publisher {
public:
  /// Gives up after Patience.
  Publisher(Publication What, Clock Time, Millis Patience);

  /// The first step.
  [[nodiscard]] PublisherSteps start();
  /// The manifest's object version and text; version 0 when there is none.
  [[nodiscard]] PublisherSteps onManifest(std::uint64_t ObjectVersion,
                                          const std::string &Text);
  [[nodiscard]] PublisherSteps onManifestUnread(const std::string &Reason);
  /// An index part; nothing when it could not be read.
  [[nodiscard]] PublisherSteps
  onIndexPart(const PartId &Id, const std::optional<std::string> &Text);
  /// The part exists now.
  [[nodiscard]] PublisherSteps onPartStored(const PartId &Id);
  /// Nobody knows whether the part was stored.
  [[nodiscard]] PublisherSteps onPartLost(const PartId &Id,
                                          const std::string &Reason);
  /// The manifest was replaced.
  [[nodiscard]] PublisherSteps onManifestStored();
  /// The manifest's object had another version.
  [[nodiscard]] PublisherSteps onManifestConflict();
  /// Nobody knows whether the manifest was replaced.
  [[nodiscard]] PublisherSteps onManifestLost();
  /// The platform refuses the request itself.
  [[nodiscard]] PublisherSteps onRefused(const std::string &Reason);

private:
  [[nodiscard]] PublisherSteps judge(std::uint64_t ObjectVersion,
                                     const std::optional<Manifest> &There);
  [[nodiscard]] PublisherSteps compare();
  [[nodiscard]] PublisherSteps storeParts();
  [[nodiscard]] PublisherSteps storeManifest();
  [[nodiscard]] PublisherSteps readAgain(const std::string &Reason);
  [[nodiscard]] PublisherSteps giveUp(const std::string &Reason) const;
  [[nodiscard]] Manifest next() const;
  [[nodiscard]] bool late() const;

  Publication What_;
  Clock Clock_;
  TimePoint Deadline_;
  IndexParts Index_;
  /// What was there when this write began.
  Manifest Base_;
  std::uint64_t BaseObject_ = 0;
  /// The parts of the index parts that change, as they stand in the base.
  std::set<PartId> OldParts_;
  /// The parts that the base does not have.
  std::set<PartId> NewParts_;
  std::set<PartId> IndexToRead_;
  bool OldKnown_ = true;
  std::map<PartId, std::string> ToStore_;
  /// The manifest was sent and has not been answered for sure.
  bool Sent_ = false;
  bool Lost_ = false;
  bool Conflicted_ = false;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PUBLISHER_HPP
