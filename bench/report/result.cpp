#include <bench/report/result.hpp>

#include <nlohmann/json.hpp>

#include <fstream>

namespace medlarmoor::bench {

namespace {

using Json = nlohmann::json;

std::string textOf(const Json &Object, const char *Key) {
  const auto At = Object.find(Key);
  if (At == Object.end())
    return {};
  return At->is_string() ? At->get<std::string>() : At->dump();
}

std::map<std::string, double> numbersOf(const Json &Object, const char *Key) {
  std::map<std::string, double> Out;
  const auto At = Object.find(Key);
  if (At == Object.end() || !At->is_object())
    return Out;
  for (const auto &[Name, Value] : At->items())
    if (Value.is_number())
      Out[Name] = Value.get<double>();
  return Out;
}

/// A figure that is an array of pairs is a series over time.
std::map<std::string, Series> seriesOf(const Json &Figures) {
  std::map<std::string, Series> Out;
  for (const auto &[Name, Value] : Figures.items()) {
    if (!Value.is_array())
      continue;
    Series Points;
    for (const Json &Each : Value)
      if (Each.is_array() && Each.size() == 2 && Each[0].is_number() &&
          Each[1].is_number())
        Points.emplace_back(Each[0].get<double>(), Each[1].get<double>());
    if (Points.size() > 1)
      Out[Name] = std::move(Points);
  }
  return Out;
}

std::optional<Result> parse(const std::string &Line) {
  const Json Object = Json::parse(Line, nullptr, /*allow_exceptions=*/false);
  if (!Object.is_object() || !Object.contains("experiment") ||
      !Object.contains("figures") || !Object["figures"].is_object())
    return std::nullopt;
  Result Out;
  Out.Experiment_ = textOf(Object, "experiment");
  Out.Case_ = textOf(Object, "case");
  Out.Policy_ = textOf(Object, "policy");
  Out.Seed_ = textOf(Object, "seed");
  Out.Figures_ = numbersOf(Object, "figures");
  Out.Series_ = seriesOf(Object["figures"]);
  Out.Bound_ = numbersOf(Object, "bound");
  if (Object.contains("held") && Object["held"].is_boolean())
    Out.Held_ = Object["held"].get<bool>();
  return Out;
}

} // namespace

std::optional<std::vector<Result>> readResults(const std::string &File,
                                               std::string &Reason) {
  std::ifstream In(File);
  if (!In) {
    Reason = File + ": cannot be read";
    return std::nullopt;
  }
  std::vector<Result> Out;
  for (std::string Line; std::getline(In, Line);)
    if (auto Each = parse(Line))
      Out.push_back(std::move(*Each));
  return Out;
}

} // namespace medlarmoor::bench
