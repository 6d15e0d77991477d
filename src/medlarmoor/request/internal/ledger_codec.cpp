#include <medlarmoor/request/internal/ledger_codec.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using Json = nlohmann::json;

constexpr int LastKeyState = static_cast<int>(KeyState::Unknown);
constexpr int LastAnswer = static_cast<int>(CopyAnswer::Refused);
/// Upper bound of the retention time that a sender may ask for.
constexpr Millis MaxRetention = std::chrono::hours(1);

Json toJson(const LedgerCopy &Replica) {
  return {{"key", Replica.Key_.value()},
          {"service", Replica.Service_.value()},
          {"state", static_cast<int>(Replica.State_)},
          {"dispatcher", Replica.Dispatcher_.value()},
          {"run", Replica.Run_.value()},
          {"try", Replica.Try_},
          {"mintedMs", Replica.Minted_.time_since_epoch().count()},
          {"keepMs", Replica.KeepFor_.count()},
          {"reason", Replica.Reason_}};
}

LedgerCopy replicaFromJson(const Json &Object) {
  LedgerCopy Out;
  Out.Key_ = IdempotencyKey(Object.at("key").get<std::string>());
  Out.Service_ = ServiceName(Object.at("service").get<std::string>());
  const int State = Object.at("state").get<int>();
  if (State < 0 || State > LastKeyState)
    throw std::out_of_range("unknown key state");
  Out.State_ = static_cast<KeyState>(State);
  Out.Dispatcher_ = EntryName(Object.at("dispatcher").get<std::string>());
  Out.Run_ = Incarnation(Object.at("run").get<std::uint64_t>());
  Out.Try_ = Object.at("try").get<std::uint32_t>();
  Out.Minted_ = WallTime(Millis(Object.at("mintedMs").get<std::int64_t>()));
  const Millis Retention(Object.at("keepMs").get<std::int64_t>());
  Out.KeepFor_ = std::clamp(Retention, Millis(0), MaxRetention);
  Out.Reason_ = Object.at("reason").get<std::string>();
  return Out;
}

std::vector<LedgerCopy> replicasFromJson(const Json &Array) {
  std::vector<LedgerCopy> Out;
  for (const Json &Object : Array)
    Out.push_back(replicaFromJson(Object));
  return Out;
}

Json toJson(const std::vector<LedgerCopy> &Replicas) {
  Json Out = Json::array();
  for (const LedgerCopy &Replica : Replicas)
    Out.push_back(toJson(Replica));
  return Out;
}

/// Returns what Read makes of the parsed text, or nothing if parsing or Read
/// throws.
template <typename F>
auto tryRead(std::string_view Text, F Read)
    -> std::optional<decltype(Read(Json()))> {
  try {
    return Read(Json::parse(Text));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encode(const std::vector<LedgerCopy> &Replicas) {
  return toJson(Replicas).dump();
}

std::optional<std::vector<LedgerCopy>> decodeReplicas(std::string_view Text) {
  return tryRead(Text, replicasFromJson);
}

std::string encode(const std::vector<CopyAnswer> &Answers) {
  Json Out = Json::array();
  for (const CopyAnswer Answer : Answers)
    Out.push_back(static_cast<int>(Answer));
  return Out.dump();
}

std::optional<std::vector<CopyAnswer>> decodeAnswers(std::string_view Text) {
  return tryRead(Text, [](const Json &Array) {
    std::vector<CopyAnswer> Out;
    for (const Json &Number : Array) {
      const int Value = Number.get<int>();
      if (Value < 0 || Value > LastAnswer)
        throw std::out_of_range("unknown answer to a ledger replica");
      Out.push_back(static_cast<CopyAnswer>(Value));
    }
    return Out;
  });
}

std::string encode(const LedgerHandoff &Handoff) {
  return Json{{"service", Handoff.Service_.value()},
              {"fromMs", Handoff.CompleteSince_.time_since_epoch().count()},
              {"copies", toJson(Handoff.Records_)}}
      .dump();
}

std::optional<LedgerHandoff> decodeHandoff(std::string_view Text) {
  return tryRead(Text, [](const Json &Object) {
    LedgerHandoff Out;
    Out.Service_ = ServiceName(Object.at("service").get<std::string>());
    Out.CompleteSince_ =
        WallTime(Millis(Object.at("fromMs").get<std::int64_t>()));
    Out.Records_ = replicasFromJson(Object.at("copies"));
    return Out;
  });
}

} // namespace medlarmoor::request::internal
