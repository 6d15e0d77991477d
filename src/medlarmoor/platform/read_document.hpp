#ifndef MEDLARMOOR_PLATFORM_READ_DOCUMENT_HPP
#define MEDLARMOOR_PLATFORM_READ_DOCUMENT_HPP

#include <medlarmoor/config/replica.hpp>
#include <medlarmoor/platform/sync_client.hpp>

#include <optional>
#include <string>

namespace medlarmoor::platform {

/// The accepted document of an environment, whole.
struct AcceptedDocument {
  config::Manifest Manifest_;
  config::PartSet Parts_;
  config::InForcePtr Document_;
};

/// Reads the accepted document: nothing, with Reason set, when it can't be
/// read whole. Version 0 and no document when none was ever accepted.
[[nodiscard]] std::optional<AcceptedDocument>
readDocument(const SyncClient &From, const std::string &Environment,
             std::string &Reason);

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_READ_DOCUMENT_HPP
