#ifndef MEDLARMOOR_REQUEST_INTERNAL_LEDGER_CODEC_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_LEDGER_CODEC_HPP

#include <medlarmoor/request/record_replica.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmoor::request::internal {

/// The ledger of one service, sent by its dispatcher to its successor.
struct LedgerHandoff {
  ServiceName Service_;
  /// Records_ is complete for keys that were minted at or after this time.
  WallTime CompleteSince_;
  std::vector<RecordReplica> Records_;
};

/// Encodes replicas as a JSON array.
[[nodiscard]] std::string encode(const std::vector<RecordReplica> &Replicas);
/// Returns nothing if Text does not have the form that encode() writes.
[[nodiscard]] std::optional<std::vector<RecordReplica>>
decodeReplicas(std::string_view Text);

/// Encodes the answers to replicas as a JSON array, in the order of the
/// replicas.
[[nodiscard]] std::string encode(const std::vector<ReplicaAnswer> &Answers);
/// Returns nothing if Text does not have the form that encode() writes.
[[nodiscard]] std::optional<std::vector<ReplicaAnswer>>
decodeAnswers(std::string_view Text);

/// Encodes a handoff as a JSON object.
[[nodiscard]] std::string encode(const LedgerHandoff &Handoff);
/// Returns nothing if Text does not have the form that encode() writes.
[[nodiscard]] std::optional<LedgerHandoff> decodeHandoff(std::string_view Text);

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_LEDGER_CODEC_HPP
