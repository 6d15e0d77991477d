#ifndef MEDLARMOOR_REQUEST_INTERNAL_LEDGER_CODEC_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_LEDGER_CODEC_HPP

#include <medlarmoor/request/ledger_copy.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmoor::request::internal {

/// A service's ledger on its way to the next dispatcher.
struct Handover {
  ServiceName Service_;
  /// Keys minted from here on are all in it.
  WallTime From_;
  std::vector<LedgerCopy> Copies_;
};

/// Copies as a JSON array.
[[nodiscard]] std::string encode(const std::vector<LedgerCopy> &Copies);
/// Nothing when Text is not what encode() makes.
[[nodiscard]] std::optional<std::vector<LedgerCopy>>
decodeCopies(std::string_view Text);

/// Answers as a JSON array, in the order of the copies.
[[nodiscard]] std::string encode(const std::vector<CopyAnswer> &Answers);
[[nodiscard]] std::optional<std::vector<CopyAnswer>>
decodeAnswers(std::string_view Text);

[[nodiscard]] std::string encode(const Handover &Whole);
[[nodiscard]] std::optional<Handover> decodeHandover(std::string_view Text);

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_LEDGER_CODEC_HPP
