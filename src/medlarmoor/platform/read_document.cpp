#include <medlarmoor/platform/read_document.hpp>

namespace medlarmoor::platform {

using namespace config;

namespace {

/// Fetches all parts that Local still lacks. Returns false and sets Reason if a
/// part cannot be fetched or is rejected.
bool fetchMissingParts(Replica &Local, const SyncClient &Platform,
                       const std::string &Environment, std::string &Reason) {
  for (auto Missing = Local.missingParts(); !Missing.empty();
       Missing = Local.missingParts())
    for (const PartId &Id : Missing) {
      const GetResult Read =
          Platform.get("part", Environment + "." + Id.value());
      const Object *Found = std::get_if<Object>(&Read);
      if (!Found) {
        Reason = "part " + Id.value() + " could not be read from the platform";
        return false;
      }
      if (!Local.addPart(Id, Found->Value_) && !Local.lastReason().empty()) {
        Reason = Local.lastReason();
        return false;
      }
    }
  return true;
}

} // namespace

std::optional<AcceptedDocument> readDocument(const SyncClient &Platform,
                                             const std::string &Environment,
                                             std::string &Reason) {
  const GetResult Read = Platform.get("manifest", Environment);
  if (std::holds_alternative<Absent>(Read))
    return AcceptedDocument();
  if (const Unavailable *Failed = std::get_if<Unavailable>(&Read)) {
    Reason = Failed->Reason_;
    return std::nullopt;
  }
  auto Accepted = readManifest(std::get<Object>(Read).Value_, Reason);
  if (!Accepted)
    return std::nullopt;
  Replica Local(Environment);
  if (!Local.setTarget(*Accepted)) {
    Reason = Local.lastReason();
    return std::nullopt;
  }
  if (!fetchMissingParts(Local, Platform, Environment, Reason))
    return std::nullopt;
  if (Local.version() != Accepted->Version_) {
    Reason = Local.lastReason();
    return std::nullopt;
  }
  return AcceptedDocument{std::move(*Accepted), Local.parts(), Local.inForce()};
}

} // namespace medlarmoor::platform
