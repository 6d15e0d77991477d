#ifndef MEDLARMOOR_PLATFORM_READ_DOCUMENT_HPP
#define MEDLARMOOR_PLATFORM_READ_DOCUMENT_HPP

#include <medlarmoor/config/replica.hpp>
#include <medlarmoor/platform/sync_client.hpp>

#include <optional>
#include <string>

namespace medlarmoor::platform {

/// The complete accepted document of an environment.
struct AcceptedDocument {
  config::Manifest Manifest_;
  config::PartSet Parts_;
  config::ActiveConfigPtr Document_;
};

/// Reads the accepted document. Returns no value and sets Reason if it cannot
/// be read completely. Returns version 0 and a null document if none was ever
/// accepted.
[[nodiscard]] std::optional<AcceptedDocument>
readDocument(const SyncClient &Platform, const std::string &Environment,
             std::string &Reason);

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_READ_DOCUMENT_HPP
