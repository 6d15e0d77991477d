#ifndef MEDLARMOOR_CONFIG_REPLICA_HPP
#define MEDLARMOOR_CONFIG_REPLICA_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/manifest.hpp>
#include <medlarmoor/config/parts.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// The replica of a document at one entry. It moves to higher versions only,
/// and only once a version is complete: every part is checked against the id
/// that names it, and all ids against the index that the manifest names.
class Replica {
public:
  /// Environment is the name given to the documents.
  explicit Replica(std::string Environment);

  /// Applies a manifest with a delta. Returns true if its version is now in
  /// force; returns false and sets lastReason() if it is not newer or its delta
  /// does not apply.
  [[nodiscard]] bool adopt(const Manifest &Offered);
  /// Accepts a manifest whose parts may have to be fetched. Returns true if its
  /// version is now in force or is the target whose parts missingParts() lists.
  bool setTarget(const Manifest &Offered);
  /// Returns the index parts and parts to fetch for the target version.
  [[nodiscard]] const std::set<PartId> &missingParts() const noexcept {
    return MissingParts_;
  }
  /// Adds a fetched part. Returns true if this brought the target version into
  /// force. Contents that do not match their id are dropped.
  [[nodiscard]] bool addPart(const PartId &Id, const std::string &Text);

  /// Returns the version in force, 0 if there is none.
  [[nodiscard]] ConfigVersion version() const noexcept;
  /// Returns the token of the version in force.
  [[nodiscard]] const std::string &token() const noexcept {
    return Manifest_.Token_;
  }
  /// Returns the parts of the version in force.
  [[nodiscard]] const PartSet &parts() const noexcept { return Parts_; }
  /// What is in force, or null.
  [[nodiscard]] const ActiveConfigPtr &inForce() const noexcept {
    return InForce_;
  }
  /// Returns the manifest in force with the delta from HeldVersion, or nullopt
  /// if HeldVersion is not older. The delta holds only the changes while this
  /// replica still has the history since HeldVersion, and otherwise the full
  /// snapshot.
  [[nodiscard]] std::optional<Manifest>
  manifestSince(ConfigVersion HeldVersion) const;
  /// Returns why adopt(), setTarget() or addPart() rejected its input; empty if
  /// the input was accepted.
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return LastReason_;
  }

private:
  /// The parts that one adoption added and removed.
  struct Adoption {
    ConfigVersion PreviousVersion_;
    std::vector<PartId> Added_;
    std::vector<PartId> Removed_;
  };

  [[nodiscard]] bool checkNewer(const Manifest &Offered);
  [[nodiscard]] std::optional<std::vector<PartId>> targetPartIds() const;
  void updateMissing();
  void dropTarget();
  bool adoptIfComplete();
  bool replace(const Manifest &Next, PartSet Parts);
  void recordAdoption(const PartSet &Next);

  std::string Environment_;
  std::string LastReason_;
  Manifest Manifest_;
  PartSet Parts_;
  IndexParts Index_;
  ActiveConfigPtr InForce_;
  std::deque<Adoption> Adoptions_;

  std::optional<Manifest> Target_;
  std::set<PartId> MissingParts_;
  IndexParts FetchedIndex_;
  PartSet FetchedParts_;
  /// A version whose parts are complete but can't be joined to a document. It
  /// is never adopted.
  ConfigVersion RejectedVersion_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_REPLICA_HPP
