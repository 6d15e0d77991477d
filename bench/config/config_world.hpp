#ifndef MEDLARMOOR_BENCH_CONFIG_CONFIG_WORLD_HPP
#define MEDLARMOOR_BENCH_CONFIG_CONFIG_WORLD_HPP

#include <bench/config/adoption.hpp>

#include <harness/cluster.hpp>
#include <medlarmoor/config/publisher_action.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// A document that was accepted.
struct Acceptance {
  std::uint64_t Version_ = 0;
  /// When the answer that says so was sent.
  WallTime At_;
};

/// Entries that only take part in configuration and membership, on a platform
/// stand-in, and what their logs tell.
class ConfigWorld {
public:
  ConfigWorld(std::uint64_t Seed, bool Proxied);

  /// Starts Count entries in each of the first Domains failure domains; false
  /// with lastReason().
  [[nodiscard]] bool start(std::size_t Domains, std::size_t Count);
  /// Starts one more entry; its neighbours are the first entries of its
  /// domain.
  [[nodiscard]] bool startEntry(std::uint8_t Number, std::uint8_t Domain);

  /// Has a changed document accepted; nothing when it was not.
  [[nodiscard]] std::optional<Acceptance> change();
  /// Has this document accepted.
  [[nodiscard]] std::optional<Acceptance>
  accept(const config::Environment &Document);
  /// Runs the operator command on a document; its exit code. Name is that of
  /// the file. Several threads may call it at once.
  [[nodiscard]] int apply(const std::string &Name,
                          const config::Environment &Document,
                          std::uint64_t Seen);
  /// The version that the platform holds now.
  [[nodiscard]] std::uint64_t acceptedNow();
  [[nodiscard]] std::string environment();
  /// Remembers what a version may look like: that of the write that wins.
  void expect(std::uint64_t Version, const config::Environment &Document);
  /// How long after At_ the last of Entries (all when empty) had this version
  /// or a higher one in force; nothing when one had not within Limit.
  [[nodiscard]] std::optional<Millis>
  inForce(const Acceptance &Change, Millis Limit,
          const std::vector<std::string> &Entries = {});

  /// How long after Begin an entry that started then had the newest version in
  /// force; nothing when it had not within Limit.
  [[nodiscard]] std::optional<Millis>
  inForceSince(WallTime Begin, const std::string &Entry, Millis Limit);
  /// The newest accepted version.
  [[nodiscard]] std::uint64_t newest() const {
    return Digests_.empty() ? 0 : Digests_.rbegin()->first;
  }

  /// Adoptions of a version lower than one before, also over restarts.
  [[nodiscard]] std::uint64_t reverts();
  /// Adoptions of a document that differs from the accepted one.
  [[nodiscard]] std::uint64_t halfApplied();

  /// Sets faults of the platform.
  void platform(const nlohmann::json &Faults);
  /// The platform's counters.
  [[nodiscard]] nlohmann::json counters() const;
  /// The value of a metric of an entry, summed over its labels.
  [[nodiscard]] double metric(const std::string &Entry,
                              const std::string &Name) const;
  /// Bytes that an entry has sent and received for control so far.
  [[nodiscard]] double controlBytes(const std::string &Entry) const;
  /// Cuts or heals the way between entries and the platform.
  void cut(const std::vector<std::string> &Entries);
  void heal();
  /// The entries of one domain.
  [[nodiscard]] std::vector<std::string> entriesOf(std::size_t Domain);
  [[nodiscard]] Endpoint platformApi() const;

  [[nodiscard]] harness::Cluster &cluster() noexcept { return Cluster_; }
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  [[nodiscard]] std::vector<Adoption> adoptions(const std::string &Entry);
  /// Tells a new entry of some that run in its domain.
  void addNeighbours(config::Settings &Each) const;

  harness::Cluster Cluster_;
  std::vector<std::string> Names_;
  std::mutex Lock_;
  std::map<std::uint64_t, std::set<std::uint64_t>> Digests_;
  std::uint32_t Mark_ = 10;
  Millis Delay_{0};
  std::string Reason_;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_CONFIG_CONFIG_WORLD_HPP
