#include <medlarmoor/membership/internal_list_reader.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::membership::internal {

namespace {

using Json = nlohmann::json;

std::string stringField(const Json &Object, const char *Key) {
  const auto Field = Object.find(Key);
  return Field != Object.end() && Field->is_string() ? Field->get<std::string>()
                                                     : std::string();
}

std::optional<ListedInstance> parseInstance(const Json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  const std::string Name = stringField(Object, "name");
  const auto Address = Ipv4::parse(stringField(Object, "address"));
  if (Name.empty() || !Address)
    return std::nullopt;
  return ListedInstance{EntryName(Name), *Address,
                        stringField(Object, "state") == "leaving"};
}

} // namespace

std::optional<std::vector<ListedInstance>>
parseInstances(const std::string &Body) {
  const Json Document = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Document.is_object())
    return std::nullopt;
  const auto Items = Document.find("instances");
  if (Items == Document.end() || !Items->is_array())
    return std::nullopt;
  std::vector<ListedInstance> Instances;
  for (const Json &Item : *Items)
    if (auto Instance = parseInstance(Item))
      Instances.push_back(std::move(*Instance));
  return Instances;
}

} // namespace medlarmoor::membership::internal
