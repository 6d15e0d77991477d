#ifndef MEDLARMOOR_CONFIG_REPLICA_HPP
#define MEDLARMOOR_CONFIG_REPLICA_HPP

#include <medlarmoor/config/in_force.hpp>
#include <medlarmoor/config/manifest.hpp>
#include <medlarmoor/config/parts.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// The copy of a document that one entry holds. It moves to higher versions
/// only, and only when it has a version whole: every part is checked against
/// the id that names it, and all ids against the index that the manifest names.
class Replica {
public:
  /// Environment is the name that the documents get.
  explicit Replica(std::string Environment);

  /// Takes a manifest with a delta. True when that made its version be in
  /// force; false, with lastReason(), when it is not newer or does not fit.
  [[nodiscard]] bool adopt(const Manifest &Offered);
  /// Takes a manifest whose parts may have to be fetched. True when its version
  /// is in force now or is what missing() is about.
  bool aim(const Manifest &Offered);
  /// The index parts and parts to fetch for the version aimed at.
  [[nodiscard]] const std::set<PartId> &missing() const noexcept {
    return Missing_;
  }
  /// Takes a fetched part; true when that made the version aimed at be in
  /// force. Contents that their id does not name are dropped.
  [[nodiscard]] bool put(const PartId &Id, const std::string &Text);

  /// The version in force, 0 when none is.
  [[nodiscard]] ConfigVersion version() const noexcept;
  /// The token of the version in force.
  [[nodiscard]] const std::string &token() const noexcept {
    return Manifest_.Token_;
  }
  /// The parts of the version in force.
  [[nodiscard]] const PartSet &parts() const noexcept { return Parts_; }
  /// What is in force, or null.
  [[nodiscard]] const InForcePtr &inForce() const noexcept { return InForce_; }
  /// The manifest in force with the delta that brings an entry with version
  /// Have to it; nothing when Have is not older. The delta is the change alone
  /// while this replica remembers the step from Have, and else the whole.
  [[nodiscard]] std::optional<Manifest> answer(ConfigVersion Have) const;
  /// Why adopt(), aim() or put() took nothing; empty when it took something.
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  /// One adoption: what it added and removed.
  struct Step {
    ConfigVersion From_;
    std::vector<PartId> Added_;
    std::vector<PartId> Removed_;
  };

  [[nodiscard]] bool isNews(const Manifest &Offered);
  [[nodiscard]] std::optional<std::vector<PartId>> listed() const;
  void findMissing();
  void dropAim();
  bool adoptWhenWhole();
  bool replace(const Manifest &Next, PartSet Parts);
  void remember(const PartSet &Next);

  std::string Environment_;
  std::string Reason_;
  Manifest Manifest_;
  PartSet Parts_;
  IndexParts Index_;
  InForcePtr InForce_;
  std::deque<Step> Steps_;

  std::optional<Manifest> Aim_;
  std::set<PartId> Missing_;
  IndexParts FetchedIndex_;
  PartSet Fetched_;
  /// A version that is whole but does not join; it is never taken.
  ConfigVersion Rejected_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_REPLICA_HPP
