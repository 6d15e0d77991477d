#include <medlarmoor/platform/internal_answers.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>

namespace medlarmoor::platform::internal {

using Json = nlohmann::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned VersionConflict = 409;
constexpr unsigned Gone = 410;
constexpr unsigned FirstClientError = 400;
constexpr unsigned FirstServerError = 500;
/// Header of all answers: how often the store was restored from an older copy.
constexpr std::string_view EpochHeader = "Store-Era";

std::optional<std::uint64_t> unsignedAt(const Json &Source, const char *Key) {
  if (!Source.is_object())
    return std::nullopt;
  const auto Field = Source.find(Key);
  if (Field == Source.end() || !Field->is_number_unsigned())
    return std::nullopt;
  return Field->get<std::uint64_t>();
}

std::string textAt(const Json &Source, const char *Key) {
  if (!Source.is_object())
    return {};
  const auto Field = Source.find(Key);
  return Field != Source.end() && Field->is_string() ? Field->get<std::string>()
                                                     : std::string();
}

Json parseBody(const std::optional<net::HttpResponse> &Answer) {
  return Json::parse(Answer->Body_, nullptr, false);
}

Unavailable unavailable(const std::optional<net::HttpResponse> &Answer,
                        const std::string &Reason) {
  if (!Answer)
    return {Reason.empty() ? "no answer from the platform" : Reason};
  return {"unexpected HTTP status " + std::to_string(Answer->Status_)};
}

bool isStatus(const std::optional<net::HttpResponse> &Answer, unsigned Status) {
  return Answer && Answer->Status_ == Status;
}

std::optional<Object> toObject(const Json &Source) {
  const auto Version = unsignedAt(Source, "version");
  Object Parsed{
      textAt(Source, "kind"), textAt(Source, "name"), Version.value_or(0), {}};
  if (!Version || Parsed.Name_.empty())
    return std::nullopt;
  const auto Deleted = Source.find("deleted");
  Parsed.Deleted_ = Deleted != Source.end() && *Deleted == true;
  const auto Value = Source.find("value");
  if (Value == Source.end())
    return Parsed.Deleted_ ? std::optional(Parsed) : std::nullopt;
  // The store may return the value as the JSON text that was written.
  const Json Inner = Value->is_string() ? Json::parse(Value->get<std::string>(),
                                                      nullptr, false)
                                        : *Value;
  if (Inner.is_discarded())
    return std::nullopt;
  Parsed.Value_ = Inner.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Parsed;
}

std::optional<Listing> toListing(const net::HttpResponse &Answer) {
  const Json Source = Json::parse(Answer.Body_, nullptr, false);
  const auto Revision = unsignedAt(Source, "revision");
  if (!Revision || !Source.contains("items") || !Source["items"].is_array())
    return std::nullopt;
  Listing Parsed{{readEpoch(Answer).value_or(StoreEpoch()), *Revision}, {}};
  for (const Json &Element : Source["items"]) {
    std::optional<Object> Item = toObject(Element);
    if (!Item)
      return std::nullopt;
    Parsed.Items_.push_back(std::move(*Item));
  }
  return Parsed;
}

std::optional<Instance> toInstance(const Json &Source) {
  const std::string State = textAt(Source, "state");
  const std::optional<Ipv4> Address = Ipv4::parse(textAt(Source, "address"));
  const std::string Name = textAt(Source, "name");
  if (!Address || Name.empty() || (State != "live" && State != "leaving"))
    return std::nullopt;
  return Instance{EntryName(Name), DomainName(textAt(Source, "domain")),
                  *Address, State == "leaving"};
}

} // namespace

std::optional<StoreEpoch> readEpoch(const net::HttpResponse &Answer) {
  const auto Value = Answer.Headers_.find(EpochHeader);
  std::uint64_t Epoch = 0;
  if (!Value)
    return std::nullopt;
  const char *Last = Value->data() + Value->size();
  const auto [End, Error] = std::from_chars(Value->data(), Last, Epoch);
  if (Error != std::errc() || End != Last)
    return std::nullopt;
  return StoreEpoch(Epoch);
}

GetResult toGetResult(const std::optional<net::HttpResponse> &Answer,
                      const std::string &Reason) {
  if (isStatus(Answer, NotFound))
    return Absent();
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  if (std::optional<Object> Read = toObject(parseBody(Answer)))
    return std::move(*Read);
  return Unavailable{"malformed object in the platform's answer"};
}

PutResult toPutResult(const std::optional<net::HttpResponse> &Answer,
                      const std::string &Reason) {
  if (isStatus(Answer, Ok))
    if (const auto Version = unsignedAt(parseBody(Answer), "version"))
      return Stored{*Version};
  if (isStatus(Answer, VersionConflict))
    return Conflict{unsignedAt(parseBody(Answer), "version").value_or(0)};
  if (Answer && Answer->Status_ >= FirstClientError &&
      Answer->Status_ < FirstServerError)
    return Refused{"the platform refused the request with HTTP status " +
                   std::to_string(Answer->Status_)};
  return unavailable(Answer, Reason);
}

RemoveResult toRemoveResult(const std::optional<net::HttpResponse> &Answer,
                            const std::string &Reason) {
  if (isStatus(Answer, Ok))
    return Stored{};
  if (isStatus(Answer, NotFound))
    return Absent();
  if (isStatus(Answer, VersionConflict))
    return Conflict{unsignedAt(parseBody(Answer), "version").value_or(0)};
  return unavailable(Answer, Reason);
}

ListResult toListResult(const std::optional<net::HttpResponse> &Answer,
                        const std::string &Reason) {
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  if (std::optional<Listing> Read = toListing(*Answer))
    return std::move(*Read);
  return Unavailable{"malformed list in the platform's answer"};
}

WatchResult toWatchResult(const std::optional<net::HttpResponse> &Answer,
                          const std::string &Reason) {
  if (isStatus(Answer, Gone))
    return TooOld();
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  if (std::optional<Listing> Read = toListing(*Answer))
    return std::move(*Read);
  return Unavailable{"malformed answer of the platform to a watch"};
}

InstancesResult
toInstancesResult(const std::optional<net::HttpResponse> &Answer,
                  const std::string &Reason) {
  if (!isStatus(Answer, Ok))
    return unavailable(Answer, Reason);
  const Json Read = parseBody(Answer);
  const auto Revision = unsignedAt(Read, "revision");
  if (!Revision || !Read.contains("instances") || !Read["instances"].is_array())
    return Unavailable{"malformed list of instances in the platform's answer"};
  InstanceList Parsed{*Revision, {}};
  for (const Json &Element : Read["instances"]) {
    std::optional<Instance> Item = toInstance(Element);
    if (!Item)
      return Unavailable{"malformed instance in the platform's answer"};
    Parsed.Instances_.push_back(std::move(*Item));
  }
  return Parsed;
}

} // namespace medlarmoor::platform::internal
