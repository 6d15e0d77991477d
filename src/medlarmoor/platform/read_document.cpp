#include <medlarmoor/platform/read_document.hpp>

namespace medlarmoor::platform {

using namespace config;

namespace {

/// Fetches all parts that Copy still lacks.
bool complete(Replica &Copy, const SyncClient &From,
              const std::string &Environment, std::string &Reason) {
  for (auto Missing = Copy.missing(); !Missing.empty();
       Missing = Copy.missing())
    for (const PartId &Id : Missing) {
      const GetResult Read = From.get("part", Environment + "." + Id.value());
      const Object *Found = std::get_if<Object>(&Read);
      if (!Found) {
        Reason = "part " + Id.value() + " can't be read";
        return false;
      }
      if (!Copy.put(Id, Found->Value_) && !Copy.lastReason().empty()) {
        Reason = Copy.lastReason();
        return false;
      }
    }
  return true;
}

} // namespace

std::optional<AcceptedDocument> readDocument(const SyncClient &From,
                                             const std::string &Environment,
                                             std::string &Reason) {
  const GetResult Read = From.get("manifest", Environment);
  if (std::holds_alternative<Absent>(Read))
    return AcceptedDocument();
  if (const Unavailable *Failed = std::get_if<Unavailable>(&Read)) {
    Reason = Failed->Reason_;
    return std::nullopt;
  }
  auto Named = readManifest(std::get<Object>(Read).Value_, Reason);
  if (!Named)
    return std::nullopt;
  Replica Copy(Environment);
  if (!Copy.aim(*Named)) {
    Reason = Copy.lastReason();
    return std::nullopt;
  }
  if (!complete(Copy, From, Environment, Reason))
    return std::nullopt;
  if (Copy.version() != Named->Version_) {
    Reason = Copy.lastReason();
    return std::nullopt;
  }
  return AcceptedDocument{std::move(*Named), Copy.parts(), Copy.inForce()};
}

} // namespace medlarmoor::platform
