#ifndef MEDLARMOOR_HARNESS_STORE_MODEL_HPP
#define MEDLARMOOR_HARNESS_STORE_MODEL_HPP

#include <medlarmoor/core/time.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// The object store that edge instances read, in memory and without I/O:
/// objects by kind and name, one revision counter, watches of the history, and
/// restores from an older copy.
class StoreModel {
public:
  using Json = nlohmann::json;

  /// Creates or replaces an object. Returns false if this changes nothing.
  bool put(const std::string &Kind, const std::string &Name, Json Spec,
           TimePoint Now);
  /// Removes an object. Returns false if there is none.
  bool remove(const std::string &Kind, const std::string &Name, TimePoint Now);
  /// Drops the history, so that a watch of earlier revisions is refused.
  void forgetHistory();
  /// Returns to the state at AsOf, also one of an earlier epoch, and begins the
  /// next epoch. Later changes are lost, and their revisions are given out
  /// again.
  void restore(TimePoint AsOf, TimePoint Now);

  /// Returns the body of one page of a list: at most Limit objects after the
  /// name After.
  [[nodiscard]] Json list(const std::string &Kind, const std::string &After,
                          std::size_t Limit) const;
  /// Returns the body of the answer to a watch with the changes after a
  /// revision, also if there are none. Returns no value if the history does not
  /// hold that revision.
  [[nodiscard]] std::optional<Json> changes(const std::string &Kind,
                                            std::uint64_t After) const;
  /// Returns the last revision that changed an object of the kind, 0 if none
  /// did.
  [[nodiscard]] std::uint64_t lastChange(const std::string &Kind) const;
  /// Returns the specification of an object, or null.
  [[nodiscard]] const Json *find(const std::string &Kind,
                                 const std::string &Name) const;
  [[nodiscard]] std::uint64_t revision() const noexcept { return Revision_; }
  /// Returns the value of the header that states the epoch.
  [[nodiscard]] std::uint64_t epoch() const noexcept { return Epoch_; }

private:
  struct Object {
    std::uint64_t Revision_ = 0;
    std::uint64_t Created_ = 0;
    Json Spec_;
  };
  struct Event {
    TimePoint At_{};
    std::string Kind_;
    std::string Name_;
    /// The object after the change, or before its removal.
    Object State_;
    bool Deleted_ = false;
  };

  /// A history that was in force from a time on.
  struct Timeline {
    TimePoint BeganAt_{};
    /// State_.Revision_ ascends.
    std::deque<Event> Events_;
  };

  void append(Event Change);
  [[nodiscard]] const std::deque<Event> &events() const noexcept {
    return Timelines_.back().Events_;
  }
  [[nodiscard]] static Json pack(const std::string &Name, const Object &State);

  std::uint64_t Epoch_ = 1;
  std::uint64_t Revision_ = 1;
  /// The history holds the changes after this revision.
  std::uint64_t HistoryStart_ = 0;
  std::map<std::string, std::map<std::string, Object>> Kinds_;
  /// The histories of all epochs; the last one is in force.
  std::vector<Timeline> Timelines_{1};
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_STORE_MODEL_HPP
