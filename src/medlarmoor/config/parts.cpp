#include <medlarmoor/config/internal_json.hpp>
#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/core/overloaded.hpp>

#include <algorithm>
#include <charconv>

namespace medlarmoor::config {

using internal::canonical;
using internal::Json;

namespace {

/// The maximum number of index parts. It is close to the square root of the
/// number of parts of a large document, at which the manifest and an index part
/// have the same size.
constexpr std::uint64_t IndexBuckets = 128;
/// Takes the place of the service or failure domain that a part id lacks.
constexpr const char *NoName = "_";
constexpr const char *IndexPrefix = "_index";

/// Returns the shortest text that parses back to the same number.
std::string fraction(double Value) {
  char Buffer[32];
  const auto End = std::to_chars(Buffer, Buffer + sizeof(Buffer), Value).ptr;
  return {Buffer, End};
}

Json toJson(const Upstream &Source) {
  return {{"name", Source.Name_.value()},
          {"packets", Source.Packets_.text()},
          {"requests", Source.Requests_.text()},
          {"slots", Source.Slots_},
          {"connections", Source.Connections_},
          {"weight", fraction(Source.Weight_)},
          {"drain", Source.Drain_}};
}

Json toJson(const Service &Source) {
  Json Addresses = Json::array();
  for (const Endpoint &Address : Source.Addresses_)
    Addresses.push_back(Address.text());
  const ServicePolicy &Policy = Source.Policy_;
  return {{"addresses", std::move(Addresses)},
          {"policy",
           {{"epsilon", fraction(Policy.Epsilon_)},
            {"longest_deadline_ms",
             static_cast<std::uint64_t>(Policy.LongestDeadline_.count())},
            {"body_bytes", Policy.MaxBodyBytes_},
            {"queue_per_slot", fraction(Policy.QueuePerSlot_)},
            {"retry_budget", fraction(Policy.RetryBudget_)}}}};
}

void addPart(PartSet &Parts, const std::string &Service,
             const std::string &Domain, const Json &Content) {
  std::string Text = canonical(Content);
  const PartId Id = makePartId(Service, Domain, Text);
  std::string Reason;
  Parts.emplace(Id, readPart(Id, std::move(Text), Reason));
}

void addUpstreams(PartSet &Parts, const Service &Source) {
  std::map<std::string, Json> ByDomain;
  for (const Upstream &Listed : Source.Upstreams_) {
    Json &List = ByDomain[Listed.Domain_.value()];
    if (List.is_null())
      List = Json::array();
    List.push_back(toJson(Listed));
  }
  for (auto &[Domain, List] : ByDomain)
    addPart(Parts, Source.Name_.value(), Domain,
            {{"upstreams", std::move(List)}});
}

template <typename T> void sortByName(std::vector<T> &Items) {
  std::sort(Items.begin(), Items.end(),
            [](const T &A, const T &B) { return A.Name_ < B.Name_; });
}

template <typename T> bool hasDuplicate(const std::vector<T> &Sorted) {
  return std::adjacent_find(Sorted.begin(), Sorted.end(),
                            [](const T &A, const T &B) {
                              return A.Name_ == B.Name_;
                            }) != Sorted.end();
}

/// Returns the id prefix that selects the index part of a part: the service, or
/// "_." and the domain if the part belongs to no service.
std::string_view indexKey(const PartId &Id) {
  const std::string_view Text = Id.value();
  const std::string_view Service = Text.substr(0, Text.find('.'));
  return Service == NoName ? Text.substr(0, Text.rfind('.')) : Service;
}

} // namespace

Environment sorted(Environment Document) {
  sortByName(Document.Domains_);
  sortByName(Document.Services_);
  for (Service &Listed : Document.Services_)
    sortByName(Listed.Upstreams_);
  return Document;
}

PartSet splitParts(const Environment &Document) {
  PartSet Parts;
  const Environment Sorted = sorted(Document);
  for (const FailureDomain &Domain : Sorted.Domains_)
    addPart(Parts, NoName, Domain.Name_.value(),
            {{"region", Domain.Region_.value()}});
  for (const Service &Listed : Sorted.Services_) {
    addPart(Parts, Listed.Name_.value(), NoName, toJson(Listed));
    addUpstreams(Parts, Listed);
  }
  return Parts;
}

std::optional<Environment>
joinParts(const std::string &Name, const PartSet &Parts, std::string &Reason) {
  Environment Document{Name, {}, {}};
  std::map<ServiceName, std::vector<Upstream>> Upstreams;
  for (const auto &[Id, Piece] : Parts)
    std::visit(Overloaded{[&Document](const FailureDomain &Domain) {
                            Document.Domains_.push_back(Domain);
                          },
                          [&Document](const ServicePart &Content) {
                            Document.Services_.push_back({Content.Name_,
                                                          Content.Addresses_,
                                                          Content.Policy_,
                                                          {}});
                          },
                          [&Upstreams](const UpstreamsPart &Content) {
                            auto &List = Upstreams[Content.Service_];
                            List.insert(List.end(), Content.Upstreams_.begin(),
                                        Content.Upstreams_.end());
                          }},
               Piece->Content_);
  for (Service &Listed : Document.Services_) {
    const auto Found = Upstreams.find(Listed.Name_);
    if (Found == Upstreams.end()) {
      Reason = "service '" + Listed.Name_.value() + "' has no upstreams";
      return std::nullopt;
    }
    Listed.Upstreams_ = std::move(Found->second);
    Upstreams.erase(Found);
  }
  if (!Upstreams.empty()) {
    Reason = "upstreams of the unknown service '" +
             Upstreams.begin()->first.value() + "'";
    return std::nullopt;
  }
  Document = sorted(std::move(Document));
  if (hasDuplicate(Document.Domains_) || hasDuplicate(Document.Services_)) {
    Reason = "two parts describe the same domain or service";
    return std::nullopt;
  }
  return Document;
}

std::uint64_t digestOf(const PartSet &Parts) {
  std::uint64_t Digest = 0;
  for (const auto &[Id, Ignored] : Parts)
    Digest = mix(Digest, hashText(Id.value()));
  return Digest;
}

IndexParts makeIndex(const std::vector<PartId> &Parts) {
  std::map<std::uint64_t, Json> Buckets;
  std::vector<PartId> Sorted = Parts;
  std::sort(Sorted.begin(), Sorted.end());
  for (const PartId &Id : Sorted) {
    Json &List = Buckets[hashText(indexKey(Id)) % IndexBuckets];
    if (List.is_null())
      List = Json::array();
    List.push_back(Id.value());
  }
  IndexParts Index;
  for (auto &[Bucket, List] : Buckets) {
    std::string Text = canonical({{"parts", std::move(List)}});
    const PartId Id = makePartId(IndexPrefix, std::to_string(Bucket), Text);
    Index.emplace(Id, std::move(Text));
  }
  return Index;
}

std::optional<std::vector<PartId>>
readIndex(const PartId &Id, const std::string &Text, std::string &Reason) {
  const std::string &IdText = Id.value();
  const std::size_t First = IdText.find('.');
  const std::size_t Last = IdText.rfind('.');
  Reason = "index part '" + IdText + "' is malformed";
  if (First == std::string::npos || First == Last ||
      IdText.substr(0, First) != IndexPrefix)
    return std::nullopt;
  if (makePartId(IndexPrefix, IdText.substr(First + 1, Last - First - 1),
                 Text) != Id)
    return std::nullopt;
  const Json Object = Json::parse(Text, nullptr, false);
  const Json *List = internal::member(Object, "parts");
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<PartId> Ids;
  for (const Json &Element : *List) {
    if (!Element.is_string())
      return std::nullopt;
    Ids.emplace_back(Element.get<std::string>());
  }
  Reason.clear();
  return Ids;
}

std::vector<PartId> idsOf(const PartSet &Parts) {
  std::vector<PartId> Ids;
  Ids.reserve(Parts.size());
  for (const auto &[Id, Ignored] : Parts)
    Ids.push_back(Id);
  return Ids;
}

} // namespace medlarmoor::config
