#include <medlarmoor/request/internal/ledger_codec.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using Json = nlohmann::json;

constexpr int LastState = static_cast<int>(KeyState::Unknown);
constexpr int LastAnswer = static_cast<int>(CopyAnswer::Refused);
constexpr Millis LongestKeep = std::chrono::hours(1);

Json toJson(const LedgerCopy &Copy) {
  return {{"key", Copy.Key_.value()},
          {"service", Copy.Service_.value()},
          {"state", static_cast<int>(Copy.State_)},
          {"dispatcher", Copy.Dispatcher_.value()},
          {"run", Copy.Run_.value()},
          {"try", Copy.Try_},
          {"mintedMs", Copy.Minted_.time_since_epoch().count()},
          {"keepMs", Copy.KeepFor_.count()},
          {"reason", Copy.Reason_}};
}

LedgerCopy copyFrom(const Json &From) {
  LedgerCopy Out;
  Out.Key_ = IdempotencyKey(From.at("key").get<std::string>());
  Out.Service_ = ServiceName(From.at("service").get<std::string>());
  const int State = From.at("state").get<int>();
  if (State < 0 || State > LastState)
    throw std::out_of_range("state");
  Out.State_ = static_cast<KeyState>(State);
  Out.Dispatcher_ = EntryName(From.at("dispatcher").get<std::string>());
  Out.Run_ = Incarnation(From.at("run").get<std::uint64_t>());
  Out.Try_ = From.at("try").get<std::uint32_t>();
  Out.Minted_ = WallTime(Millis(From.at("mintedMs").get<std::int64_t>()));
  const Millis Keep(From.at("keepMs").get<std::int64_t>());
  Out.KeepFor_ = std::clamp(Keep, Millis(0), LongestKeep);
  Out.Reason_ = From.at("reason").get<std::string>();
  return Out;
}

std::vector<LedgerCopy> copiesFrom(const Json &From) {
  std::vector<LedgerCopy> Out;
  for (const Json &Each : From)
    Out.push_back(copyFrom(Each));
  return Out;
}

Json toJson(const std::vector<LedgerCopy> &Copies) {
  Json Out = Json::array();
  for (const LedgerCopy &Each : Copies)
    Out.push_back(toJson(Each));
  return Out;
}

/// Runs Read over the parsed text; nothing where either throws.
template <typename F>
auto guarded(std::string_view Text, F Read)
    -> std::optional<decltype(Read(Json()))> {
  try {
    return Read(Json::parse(Text));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encode(const std::vector<LedgerCopy> &Copies) {
  return toJson(Copies).dump();
}

std::optional<std::vector<LedgerCopy>> decodeCopies(std::string_view Text) {
  return guarded(Text, copiesFrom);
}

std::string encode(const std::vector<CopyAnswer> &Answers) {
  Json Out = Json::array();
  for (const CopyAnswer Each : Answers)
    Out.push_back(static_cast<int>(Each));
  return Out.dump();
}

std::optional<std::vector<CopyAnswer>> decodeAnswers(std::string_view Text) {
  return guarded(Text, [](const Json &From) {
    std::vector<CopyAnswer> Out;
    for (const Json &Each : From) {
      const int Value = Each.get<int>();
      if (Value < 0 || Value > LastAnswer)
        throw std::out_of_range("answer");
      Out.push_back(static_cast<CopyAnswer>(Value));
    }
    return Out;
  });
}

std::string encode(const Handover &Whole) {
  return Json{{"service", Whole.Service_.value()},
              {"fromMs", Whole.From_.time_since_epoch().count()},
              {"copies", toJson(Whole.Copies_)}}
      .dump();
}

std::optional<Handover> decodeHandover(std::string_view Text) {
  return guarded(Text, [](const Json &From) {
    Handover Out;
    Out.Service_ = ServiceName(From.at("service").get<std::string>());
    Out.From_ = WallTime(Millis(From.at("fromMs").get<std::int64_t>()));
    Out.Copies_ = copiesFrom(From.at("copies"));
    return Out;
  });
}

} // namespace medlarmoor::request::internal
