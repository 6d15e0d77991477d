#include <medlarmoor/platform/internal_answers.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::platform::internal {

using Json = nlohmann::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned VersionConflict = 409;
constexpr unsigned Gone = 410;
constexpr unsigned FirstClientError = 400;
constexpr unsigned FirstServerError = 500;

std::optional<std::uint64_t> unsignedAt(const Json &In, const char *Key) {
  if (!In.is_object())
    return std::nullopt;
  const auto At = In.find(Key);
  if (At == In.end() || !At->is_number_unsigned())
    return std::nullopt;
  return At->get<std::uint64_t>();
}

std::string textAt(const Json &In, const char *Key) {
  if (!In.is_object())
    return {};
  const auto At = In.find(Key);
  return At != In.end() && At->is_string() ? At->get<std::string>()
                                           : std::string();
}

Json parsed(const std::optional<net::HttpResponse> &Answer) {
  return Json::parse(Answer->Body_, nullptr, false);
}

Unavailable unavailable(const std::optional<net::HttpResponse> &Answer,
                        const std::string &Reason) {
  if (!Answer)
    return {Reason.empty() ? "no answer" : Reason};
  return {"unexpected answer " + std::to_string(Answer->Status_)};
}

bool isStatus(const std::optional<net::HttpResponse> &Answer, unsigned Status) {
  return Answer && Answer->Status_ == Status;
}

std::optional<Object> toObject(const Json &In) {
  const auto Version = unsignedAt(In, "version");
  Object Out{textAt(In, "kind"), textAt(In, "name"), Version.value_or(0), {}};
  if (!Version || Out.Name_.empty())
    return std::nullopt;
  const auto Deleted = In.find("deleted");
  Out.Deleted_ = Deleted != In.end() && *Deleted == true;
  const auto Value = In.find("value");
  if (Value == In.end())
    return Out.Deleted_ ? std::optional(Out) : std::nullopt;
  // A store may keep the value as the text that was written.
  const Json Inner = Value->is_string() ? Json::parse(Value->get<std::string>(),
                                                      nullptr, false)
                                        : *Value;
  if (Inner.is_discarded())
    return std::nullopt;
  Out.Value_ = Inner.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Out;
}

std::optional<Listing> toListing(const Json &In) {
  const auto Revision = unsignedAt(In, "revision");
  if (!Revision || !In.contains("items") || !In["items"].is_array())
    return std::nullopt;
  Listing Out{*Revision, {}};
  for (const Json &Each : In["items"]) {
    std::optional<Object> Item = toObject(Each);
    if (!Item)
      return std::nullopt;
    Out.Items_.push_back(std::move(*Item));
  }
  return Out;
}

std::optional<Instance> toInstance(const Json &In) {
  const std::string State = textAt(In, "state");
  const std::optional<Ipv4> Address = Ipv4::parse(textAt(In, "address"));
  const std::string Name = textAt(In, "name");
  if (!Address || Name.empty() || (State != "live" && State != "leaving"))
    return std::nullopt;
  return Instance{EntryName(Name), DomainName(textAt(In, "domain")), *Address,
                  State == "leaving"};
}

} // namespace

GetResult toGet(const std::optional<net::HttpResponse> &Answer,
                const std::string &Reason) {
  if (isStatus(Answer, NotFound))
    return Absent();
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  if (std::optional<Object> Read = toObject(parsed(Answer)))
    return std::move(*Read);
  return Unavailable{"malformed object"};
}

PutResult toPut(const std::optional<net::HttpResponse> &Answer,
                const std::string &Reason) {
  if (isStatus(Answer, Ok))
    if (const auto Version = unsignedAt(parsed(Answer), "version"))
      return Stored{*Version};
  if (isStatus(Answer, VersionConflict))
    return Conflict{unsignedAt(parsed(Answer), "version").value_or(0)};
  if (Answer && Answer->Status_ >= FirstClientError &&
      Answer->Status_ < FirstServerError)
    return Refused{"answer " + std::to_string(Answer->Status_)};
  return unavailable(Answer, Reason);
}

RemoveResult toRemove(const std::optional<net::HttpResponse> &Answer,
                      const std::string &Reason) {
  if (isStatus(Answer, Ok))
    return Stored{};
  if (isStatus(Answer, NotFound))
    return Absent();
  if (isStatus(Answer, VersionConflict))
    return Conflict{unsignedAt(parsed(Answer), "version").value_or(0)};
  return unavailable(Answer, Reason);
}

ListResult toList(const std::optional<net::HttpResponse> &Answer,
                  const std::string &Reason) {
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  if (std::optional<Listing> Read = toListing(parsed(Answer)))
    return std::move(*Read);
  return Unavailable{"malformed list"};
}

WatchResult toWatch(const std::optional<net::HttpResponse> &Answer,
                    const std::string &Reason) {
  if (isStatus(Answer, Gone))
    return TooOld();
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  if (std::optional<Listing> Read = toListing(parsed(Answer)))
    return std::move(*Read);
  return Unavailable{"malformed watch"};
}

InstancesResult toInstances(const std::optional<net::HttpResponse> &Answer,
                            const std::string &Reason) {
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  const Json Read = parsed(Answer);
  const auto Revision = unsignedAt(Read, "revision");
  if (!Revision || !Read.contains("instances") || !Read["instances"].is_array())
    return Unavailable{"malformed list of instances"};
  InstanceList Out{*Revision, {}};
  for (const Json &Each : Read["instances"]) {
    std::optional<Instance> Item = toInstance(Each);
    if (!Item)
      return Unavailable{"malformed instance"};
    Out.Instances_.push_back(std::move(*Item));
  }
  return Out;
}

} // namespace medlarmoor::platform::internal
