#ifndef MEDLARMOOR_HARNESS_OBJECT_STORE_HPP
#define MEDLARMOOR_HARNESS_OBJECT_STORE_HPP

#include <harness/stored_object.hpp>
#include <medlarmoor/core/time.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarmoor::harness {

/// The platform's objects in memory: versions, conditional updates, and the
/// changes after a revision. No I/O; the time of a change is given with it, so
/// that reads can be answered as of an earlier moment.
class ObjectStore {
public:
  enum class Result : unsigned char { Done, Conflict, Missing };
  /// What a write did and the version that is there now.
  struct Written {
    Result Result_;
    std::uint64_t Version_;
  };

  /// Replaces the value; with IfVersion only when that is the present version,
  /// where 0 stands for an object that is not there.
  Written put(std::string Kind, std::string Name, std::string Value,
              std::optional<std::uint64_t> IfVersion, TimePoint Now);
  Written remove(const std::string &Kind, const std::string &Name,
                 std::optional<std::uint64_t> IfVersion, TimePoint Now);

  /// The object as it was at AsOf, or null.
  [[nodiscard]] const StoredObject *
  get(const std::string &Kind, const std::string &Name, TimePoint AsOf) const;
  /// All objects of the kind as they were at AsOf, sorted by name.
  [[nodiscard]] std::vector<const StoredObject *>
  list(const std::string &Kind, std::string_view Prefix, TimePoint AsOf) const;
  /// The last state of each object that changed after Revision.
  [[nodiscard]] std::vector<const StoredObject *>
  changedAfter(const std::string &Kind, std::string_view Prefix,
               std::uint64_t Revision) const;

  /// Returns to the state at AsOf. Later changes are lost, and their versions
  /// and revisions are given out again.
  void restore(TimePoint AsOf);

  /// Grows by one with each change.
  [[nodiscard]] std::uint64_t revision() const noexcept { return Revision_; }
  /// False when changes after Revision are no longer all known.
  [[nodiscard]] bool remembers(std::uint64_t Revision) const noexcept {
    return Revision >= Forgotten_ && Revision <= Revision_;
  }

private:
  using Key = std::pair<std::string, std::string>;
  /// The states of one object, oldest first.
  using History = std::deque<StoredObject>;

  Written append(const Key &Where, std::string Value, bool Deleted,
                 TimePoint Now);
  [[nodiscard]] std::uint64_t present(const Key &Where) const;
  static const StoredObject *at(const History &States, TimePoint AsOf);

  std::map<Key, History> Objects_;
  std::uint64_t Revision_ = 0;
  /// Changes up to this revision may have been superseded out of sight.
  std::uint64_t Forgotten_ = 0;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_OBJECT_STORE_HPP
