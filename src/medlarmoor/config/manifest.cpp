#include <medlarmoor/config/internal_json.hpp>
#include <medlarmoor/config/manifest.hpp>

namespace medlarmoor::config {

using internal::canonical;
using internal::Json;
using internal::member;
using internal::textAt;
using internal::unsignedAt;

namespace {

Json toJson(const std::vector<PartId> &Ids) {
  Json Array = Json::array();
  for (const PartId &Id : Ids)
    Array.push_back(Id.value());
  return Array;
}

/// Returns the JSON text of a delta. The texts of the parts are copied verbatim
/// because they are in canonical form already.
std::string textOf(const Delta &Change) {
  std::string Text = R"({"added":{)";
  const char *Separator = "";
  for (const auto &[Id, Added] : Change.Added_) {
    Text += Separator + canonical(Id.value()) + ":" + Added->Text_;
    Separator = ",";
  }
  return Text + R"(},"from":)" + std::to_string(Change.BaseVersion_.value()) +
         R"(,"removed":)" + canonical(toJson(Change.Removed_)) + "}";
}

std::optional<std::vector<PartId>> idsAt(const Json &Object, const char *Key) {
  const Json *List = member(Object, Key);
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<PartId> Ids;
  for (const Json &Element : *List) {
    if (!Element.is_string())
      return std::nullopt;
    Ids.emplace_back(Element.get<std::string>());
  }
  return Ids;
}

std::optional<Delta> readDelta(const Json &Object, std::string &Reason) {
  const auto Base = unsignedAt(Object, "from");
  auto Removed = idsAt(Object, "removed");
  const Json *Added = member(Object, "added");
  if (!Base || !Removed || !Added || !Added->is_object()) {
    Reason = "malformed delta";
    return std::nullopt;
  }
  Delta Change{ConfigVersion(*Base), {}, std::move(*Removed)};
  for (const auto &[IdText, Content] : Added->items()) {
    const PartId Id(IdText);
    PartPtr Parsed = readPart(Id, canonical(Content), Reason);
    if (!Parsed)
      return std::nullopt;
    Change.Added_.emplace(Id, std::move(Parsed));
  }
  return Change;
}

std::optional<Origin> readOrigin(const Json &Object) {
  const auto Environment = textAt(Object, "environment");
  const auto Version = unsignedAt(Object, "version");
  if (!Environment || !Version)
    return std::nullopt;
  return Origin{*Environment, ConfigVersion(*Version)};
}

std::optional<std::vector<AcceptedWrite>>
readPreviousWrites(const Json &Object) {
  const Json *List = member(Object, "before");
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<AcceptedWrite> Writes;
  for (const Json &Element : *List) {
    const auto Version = unsignedAt(Element, "version");
    const auto Token = textAt(Element, "token");
    if (!Version || !Token)
      return std::nullopt;
    Writes.push_back({ConfigVersion(*Version), *Token});
  }
  return Writes;
}

} // namespace

std::string Manifest::text() const {
  Json Object{{"version", Version_.value()},
              {"token", Token_},
              {"parts", toJson(Index_)},
              {"before", Json::array()}};
  for (const AcceptedWrite &Write : PreviousWrites_)
    Object["before"].push_back(
        {{"version", Write.Version_.value()}, {"token", Write.Token_}});
  if (Origin_)
    Object["from"] = {{"environment", Origin_->Environment_},
                      {"version", Origin_->Version_.value()}};
  if (Epoch_)
    Object["epoch"] = Epoch_->value();
  std::string Text = canonical(Object);
  if (Delta_) {
    Text.pop_back();
    Text += R"(,"delta":)" + textOf(*Delta_) + "}";
  }
  return Text;
}

std::optional<Manifest> readManifest(const std::string &Text,
                                     std::string &Reason) {
  const Json Object = Json::parse(Text, nullptr, false);
  const auto Version = unsignedAt(Object, "version");
  const auto Token = textAt(Object, "token");
  auto Index = idsAt(Object, "parts");
  auto Previous = readPreviousWrites(Object);
  Reason = "malformed manifest";
  if (!Version || *Version == 0 || !Token || !Index || !Previous)
    return std::nullopt;
  Manifest Parsed{ConfigVersion(*Version),
                  *Token,
                  std::move(*Index),
                  std::move(*Previous),
                  {},
                  {},
                  {}};
  if (const auto Epoch = unsignedAt(Object, "epoch"))
    Parsed.Epoch_ = StoreEpoch(*Epoch);
  if (const Json *Source = member(Object, "from")) {
    Parsed.Origin_ = readOrigin(*Source);
    if (!Parsed.Origin_)
      return std::nullopt;
  }
  if (const Json *Change = member(Object, "delta")) {
    Parsed.Delta_ = readDelta(*Change, Reason);
    if (!Parsed.Delta_)
      return std::nullopt;
  }
  Reason.clear();
  return Parsed;
}

} // namespace medlarmoor::config
