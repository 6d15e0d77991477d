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

/// Index parts at most; near the square root of the parts of a large document,
/// where manifest and index part are of one size.
constexpr std::uint64_t IndexBuckets = 128;
constexpr const char *None = "_";
constexpr const char *IndexWord = "_index";

std::string fraction(double Value) {
  char Buffer[32];
  const auto End = std::to_chars(Buffer, Buffer + sizeof(Buffer), Value).ptr;
  return {Buffer, End};
}

Json toJson(const Upstream &Each) {
  return {{"name", Each.Name_.value()},
          {"packets", Each.Packets_.text()},
          {"requests", Each.Requests_.text()},
          {"slots", Each.Slots_},
          {"connections", Each.Connections_},
          {"weight", fraction(Each.Weight_)},
          {"drain", Each.Drain_}};
}

Json toJson(const Service &Each) {
  Json Addresses = Json::array();
  for (const Endpoint &Address : Each.Addresses_)
    Addresses.push_back(Address.text());
  const ServicePolicy &Policy = Each.Policy_;
  return {{"addresses", std::move(Addresses)},
          {"policy",
           {{"epsilon", fraction(Policy.Epsilon_)},
            {"longest_deadline_ms",
             static_cast<std::uint64_t>(Policy.LongestDeadline_.count())},
            {"body_bytes", Policy.BodyBytes_},
            {"queue_per_slot", fraction(Policy.QueuePerSlot_)},
            {"retry_budget", fraction(Policy.RetryBudget_)}}}};
}

void addPart(PartSet &Out, const std::string &Service,
             const std::string &Domain, const Json &Content) {
  std::string Text = canonical(Content);
  const PartId Id = makePartId(Service, Domain, Text);
  std::string Reason;
  Out.emplace(Id, readPart(Id, std::move(Text), Reason));
}

void addUpstreams(PartSet &Out, const Service &Each) {
  std::map<std::string, Json> ByDomain;
  for (const Upstream &Behind : Each.Upstreams_) {
    Json &List = ByDomain[Behind.Domain_.value()];
    if (List.is_null())
      List = Json::array();
    List.push_back(toJson(Behind));
  }
  for (auto &[Domain, List] : ByDomain)
    addPart(Out, Each.Name_.value(), Domain, {{"upstreams", std::move(List)}});
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

/// What all parts of one id prefix are about: the service, or the domain.
std::string_view subject(const PartId &Id) {
  const std::string_view Text = Id.value();
  const std::string_view Service = Text.substr(0, Text.find('.'));
  return Service == None ? Text.substr(0, Text.rfind('.')) : Service;
}

} // namespace

Environment sorted(Environment Each) {
  sortByName(Each.Domains_);
  sortByName(Each.Services_);
  for (Service &Behind : Each.Services_)
    sortByName(Behind.Upstreams_);
  return Each;
}

PartSet splitParts(const Environment &Each) {
  PartSet Out;
  const Environment In = sorted(Each);
  for (const FailureDomain &Domain : In.Domains_)
    addPart(Out, None, Domain.Name_.value(),
            {{"region", Domain.Region_.value()}});
  for (const Service &Service : In.Services_) {
    addPart(Out, Service.Name_.value(), None, toJson(Service));
    addUpstreams(Out, Service);
  }
  return Out;
}

std::optional<Environment>
joinParts(const std::string &Name, const PartSet &Parts, std::string &Reason) {
  Environment Out{Name, {}, {}};
  std::map<ServiceName, std::vector<Upstream>> Upstreams;
  for (const auto &[Id, Each] : Parts)
    std::visit(Overloaded{[&Out](const FailureDomain &In) {
                            Out.Domains_.push_back(In);
                          },
                          [&Out](const ServicePart &In) {
                            Out.Services_.push_back(
                                {In.Name_, In.Addresses_, In.Policy_, {}});
                          },
                          [&Upstreams](const UpstreamsPart &In) {
                            auto &List = Upstreams[In.Service_];
                            List.insert(List.end(), In.Upstreams_.begin(),
                                        In.Upstreams_.end());
                          }},
               Each->Content_);
  for (Service &Each : Out.Services_) {
    const auto At = Upstreams.find(Each.Name_);
    if (At == Upstreams.end()) {
      Reason = "service '" + Each.Name_.value() + "' has no upstreams";
      return std::nullopt;
    }
    Each.Upstreams_ = std::move(At->second);
    Upstreams.erase(At);
  }
  if (!Upstreams.empty()) {
    Reason = "upstreams of the unknown service '" +
             Upstreams.begin()->first.value() + "'";
    return std::nullopt;
  }
  Out = sorted(std::move(Out));
  if (hasDuplicate(Out.Domains_) || hasDuplicate(Out.Services_)) {
    Reason = "two parts about one domain or service";
    return std::nullopt;
  }
  return Out;
}

std::uint64_t digestOf(const PartSet &Parts) {
  std::uint64_t Out = 0;
  for (const auto &[Id, Each] : Parts)
    Out = mix(Out, hashText(Id.value()));
  return Out;
}

IndexParts makeIndex(const std::vector<PartId> &Parts) {
  std::map<std::uint64_t, Json> Buckets;
  std::vector<PartId> Sorted = Parts;
  std::sort(Sorted.begin(), Sorted.end());
  for (const PartId &Each : Sorted) {
    Json &List = Buckets[hashText(subject(Each)) % IndexBuckets];
    if (List.is_null())
      List = Json::array();
    List.push_back(Each.value());
  }
  IndexParts Out;
  for (auto &[Bucket, List] : Buckets) {
    std::string Text = canonical({{"parts", std::move(List)}});
    const PartId Id = makePartId(IndexWord, std::to_string(Bucket), Text);
    Out.emplace(Id, std::move(Text));
  }
  return Out;
}

std::optional<std::vector<PartId>>
readIndex(const PartId &Id, const std::string &Text, std::string &Reason) {
  const std::string &Word = Id.value();
  const std::size_t First = Word.find('.');
  const std::size_t Last = Word.rfind('.');
  Reason = "index part '" + Word + "' is malformed";
  if (First == std::string::npos || First == Last ||
      Word.substr(0, First) != IndexWord)
    return std::nullopt;
  if (makePartId(IndexWord, Word.substr(First + 1, Last - First - 1), Text) !=
      Id)
    return std::nullopt;
  const Json In = Json::parse(Text, nullptr, false);
  const Json *List = internal::member(In, "parts");
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<PartId> Out;
  for (const Json &Each : *List) {
    if (!Each.is_string())
      return std::nullopt;
    Out.emplace_back(Each.get<std::string>());
  }
  Reason.clear();
  return Out;
}

std::vector<PartId> idsOf(const PartSet &Parts) {
  std::vector<PartId> Out;
  Out.reserve(Parts.size());
  for (const auto &[Id, Each] : Parts)
    Out.push_back(Id);
  return Out;
}

} // namespace medlarmoor::config
