#ifndef MEDLARMOOR_CONFIG_STATUS_WRITER_HPP
#define MEDLARMOOR_CONFIG_STATUS_WRITER_HPP

#include <medlarmoor/config/status_report.hpp>
#include <medlarmoor/core/clock.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace medlarmoor::config {

/// Reads the status object of this entry's failure domain.
struct ReadStatus {};
/// Replaces the status object if it still has version IfVersion_.
struct WriteStatus {
  std::string Text_;
  std::uint64_t IfVersion_ = 0;
};
using StatusAction = std::variant<ReadStatus, WriteStatus>;

/// Decides when the leading watcher of a failure domain writes the status of
/// the domain's entries. Writes are batched and conditional. After any event
/// that may have made another entry the leader (lost leadership, expired lease,
/// pause, conflict, lost answer) the object is read again before the next
/// write. Does no I/O.
class StatusWriter {
public:
  StatusWriter(EntryName Self, Clock Time);
  ~StatusWriter();
  StatusWriter(const StatusWriter &) = delete;
  StatusWriter &operator=(const StatusWriter &) = delete;

  /// Returns the call to start now, if any. IsLeader states whether this entry
  /// is the one that writes, Versions which version each entry of the domain
  /// has in force.
  [[nodiscard]] std::optional<StatusAction>
  onTick(bool IsLeader, const std::map<EntryName, ConfigVersion> &Versions);
  /// Records the result of a read: the object's version and text, with version
  /// 0 if the object does not exist.
  void onReadEnd(std::uint64_t Version, const std::string &Text);
  /// Records that the write took effect; Version is the new object version.
  void onStored(std::uint64_t Version);
  /// Records that a call had no effect or that its outcome is unknown.
  void onCallFailed();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_STATUS_WRITER_HPP
