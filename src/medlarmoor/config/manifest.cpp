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
  Json Out = Json::array();
  for (const PartId &Each : Ids)
    Out.push_back(Each.value());
  return Out;
}

/// The texts of the parts go in as they are, for they have the canonical form.
std::string textOf(const Delta &Each) {
  std::string Out = R"({"added":{)";
  const char *Between = "";
  for (const auto &[Id, Content] : Each.Added_) {
    Out += Between + canonical(Id.value()) + ":" + Content->Text_;
    Between = ",";
  }
  return Out + R"(},"from":)" + std::to_string(Each.From_.value()) +
         R"(,"removed":)" + canonical(toJson(Each.Removed_)) + "}";
}

std::optional<std::vector<PartId>> idsAt(const Json &In, const char *Key) {
  const Json *List = member(In, Key);
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<PartId> Out;
  for (const Json &Each : *List) {
    if (!Each.is_string())
      return std::nullopt;
    Out.emplace_back(Each.get<std::string>());
  }
  return Out;
}

std::optional<Delta> readDelta(const Json &In, std::string &Reason) {
  const auto From = unsignedAt(In, "from");
  auto Removed = idsAt(In, "removed");
  const Json *Added = member(In, "added");
  if (!From || !Removed || !Added || !Added->is_object()) {
    Reason = "malformed delta";
    return std::nullopt;
  }
  Delta Out{ConfigVersion(*From), {}, std::move(*Removed)};
  for (const auto &[Word, Content] : Added->items()) {
    const PartId Id(Word);
    PartPtr Read = readPart(Id, canonical(Content), Reason);
    if (!Read)
      return std::nullopt;
    Out.Added_.emplace(Id, std::move(Read));
  }
  return Out;
}

std::optional<Origin> readOrigin(const Json &In) {
  const auto Environment = textAt(In, "environment");
  const auto Version = unsignedAt(In, "version");
  if (!Environment || !Version)
    return std::nullopt;
  return Origin{*Environment, ConfigVersion(*Version)};
}

std::optional<std::vector<Accepted>> readBefore(const Json &In) {
  const Json *List = member(In, "before");
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<Accepted> Out;
  for (const Json &Each : *List) {
    const auto Version = unsignedAt(Each, "version");
    const auto Token = textAt(Each, "token");
    if (!Version || !Token)
      return std::nullopt;
    Out.push_back({ConfigVersion(*Version), *Token});
  }
  return Out;
}

} // namespace

std::string Manifest::text() const {
  Json Out{{"version", Version_.value()},
           {"token", Token_},
           {"parts", toJson(Index_)},
           {"before", Json::array()}};
  for (const Accepted &Each : Before_)
    Out["before"].push_back(
        {{"version", Each.Version_.value()}, {"token", Each.Token_}});
  if (Origin_)
    Out["from"] = {{"environment", Origin_->Environment_},
                   {"version", Origin_->Version_.value()}};
  std::string Text = canonical(Out);
  if (Delta_) {
    Text.pop_back();
    Text += R"(,"delta":)" + textOf(*Delta_) + "}";
  }
  return Text;
}

std::optional<Manifest> readManifest(const std::string &Text,
                                     std::string &Reason) {
  const Json In = Json::parse(Text, nullptr, false);
  const auto Version = unsignedAt(In, "version");
  const auto Token = textAt(In, "token");
  auto Index = idsAt(In, "parts");
  auto Before = readBefore(In);
  Reason = "malformed manifest";
  if (!Version || *Version == 0 || !Token || !Index || !Before)
    return std::nullopt;
  Manifest Out{ConfigVersion(*Version), *Token, std::move(*Index),
               std::move(*Before),      {},     {}};
  if (const Json *From = member(In, "from")) {
    Out.Origin_ = readOrigin(*From);
    if (!Out.Origin_)
      return std::nullopt;
  }
  if (const Json *Change = member(In, "delta")) {
    Out.Delta_ = readDelta(*Change, Reason);
    if (!Out.Delta_)
      return std::nullopt;
  }
  Reason.clear();
  return Out;
}

} // namespace medlarmoor::config
