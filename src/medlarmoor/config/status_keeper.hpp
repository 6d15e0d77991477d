#ifndef MEDLARMOOR_CONFIG_STATUS_KEEPER_HPP
#define MEDLARMOOR_CONFIG_STATUS_KEEPER_HPP

#include <medlarmoor/config/status_report.hpp>
#include <medlarmoor/core/clock.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace medlarmoor::config {

/// Read the status object of the own failure domain.
struct ReadStatus {};
/// Replace the status object if it has the version that was read.
struct WriteStatus {
  std::string Text_;
  std::uint64_t IfVersion_ = 0;
};
using StatusAction = std::variant<ReadStatus, WriteStatus>;

/// Decides when the leading watcher of a failure domain writes the status of
/// its entries. Writes are batched. After anything that may have let another
/// entry lead (lost lead, lapsed lease, pause, conflict, lost answer) it reads
/// the object again before it writes, and each write is conditional.
class StatusKeeper {
public:
  StatusKeeper(EntryName Self, Clock Time);
  ~StatusKeeper();
  StatusKeeper(const StatusKeeper &) = delete;
  StatusKeeper &operator=(const StatusKeeper &) = delete;

  /// Time has passed. Leads tells whether this entry is to write, Versions
  /// what is in force at each entry of the domain.
  [[nodiscard]] std::optional<StatusAction>
  onTick(bool Leads, const std::map<EntryName, ConfigVersion> &Versions);
  /// The read ended with the object's version and text; version 0 when the
  /// object does not exist.
  void onRead(std::uint64_t Version, const std::string &Text);
  /// The write took effect and gave the object this version.
  void onStored(std::uint64_t Version);
  /// A call ended without taking effect, or nobody knows whether it did.
  void onLost();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_STATUS_KEEPER_HPP
