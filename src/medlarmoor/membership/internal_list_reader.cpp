#include <medlarmoor/membership/internal_list_reader.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::membership::internal {

namespace {

using Json = nlohmann::json;

std::string textOf(const Json &Object, const char *Key) {
  const auto At = Object.find(Key);
  return At != Object.end() && At->is_string() ? At->get<std::string>()
                                               : std::string();
}

std::optional<ListedInstance> parseOne(const Json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  const std::string Name = textOf(Object, "name");
  const auto Address = Ipv4::parse(textOf(Object, "address"));
  if (Name.empty() || !Address)
    return std::nullopt;
  return ListedInstance{EntryName(Name), *Address,
                        textOf(Object, "state") == "leaving"};
}

} // namespace

std::optional<std::vector<ListedInstance>>
parseInstances(const std::string &Body) {
  const Json Whole = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Whole.is_object())
    return std::nullopt;
  const auto Items = Whole.find("instances");
  if (Items == Whole.end() || !Items->is_array())
    return std::nullopt;
  std::vector<ListedInstance> Out;
  for (const Json &Each : *Items)
    if (auto One = parseOne(Each))
      Out.push_back(std::move(*One));
  return Out;
}

} // namespace medlarmoor::membership::internal
