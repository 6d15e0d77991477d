#include <medlarmoor/request/internal/ledger_codec.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using Json = nlohmann::json;

constexpr int LastKeyState = static_cast<int>(KeyState::Unknown);
constexpr int LastAnswer = static_cast<int>(ReplicaAnswer::Refused);
/// Upper bound of the retention time that a sender may ask for.
constexpr Millis MaxRetention = std::chrono::hours(1);

Json toJson(const RecordReplica &Replica) {
  return {{"key", Replica.Key_.value()},
          {"service", Replica.Service_.value()},
          {"state", static_cast<int>(Replica.State_)},
          {"dispatcher", Replica.Dispatcher_.value()},
          {"run", Replica.Incarnation_.value()},
          {"try", Replica.Try_},
          {"mintedMs", Replica.Minted_.time_since_epoch().count()},
          {"keepMs", Replica.TimeToLive_.count()},
          {"reason", Replica.Reason_}};
}

RecordReplica replicaFromJson(const Json &Object) {
  RecordReplica Replica;
  Replica.Key_ = IdempotencyKey(Object.at("key").get<std::string>());
  Replica.Service_ = ServiceName(Object.at("service").get<std::string>());
  const int State = Object.at("state").get<int>();
  if (State < 0 || State > LastKeyState)
    throw std::out_of_range("unknown key state");
  Replica.State_ = static_cast<KeyState>(State);
  Replica.Dispatcher_ = EntryName(Object.at("dispatcher").get<std::string>());
  Replica.Incarnation_ = Incarnation(Object.at("run").get<std::uint64_t>());
  Replica.Try_ = Object.at("try").get<std::uint32_t>();
  Replica.Minted_ = WallTime(Millis(Object.at("mintedMs").get<std::int64_t>()));
  const Millis Retention(Object.at("keepMs").get<std::int64_t>());
  Replica.TimeToLive_ = std::clamp(Retention, Millis(0), MaxRetention);
  Replica.Reason_ = Object.at("reason").get<std::string>();
  return Replica;
}

std::vector<RecordReplica> replicasFromJson(const Json &Array) {
  std::vector<RecordReplica> Replicas;
  for (const Json &Object : Array)
    Replicas.push_back(replicaFromJson(Object));
  return Replicas;
}

Json toJson(const std::vector<RecordReplica> &Replicas) {
  Json Array = Json::array();
  for (const RecordReplica &Replica : Replicas)
    Array.push_back(toJson(Replica));
  return Array;
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

std::string encode(const std::vector<RecordReplica> &Replicas) {
  return toJson(Replicas).dump();
}

std::optional<std::vector<RecordReplica>>
decodeReplicas(std::string_view Text) {
  return tryRead(Text, replicasFromJson);
}

std::string encode(const std::vector<ReplicaAnswer> &Answers) {
  Json Array = Json::array();
  for (const ReplicaAnswer Answer : Answers)
    Array.push_back(static_cast<int>(Answer));
  return Array.dump();
}

std::optional<std::vector<ReplicaAnswer>> decodeAnswers(std::string_view Text) {
  return tryRead(Text, [](const Json &Array) {
    std::vector<ReplicaAnswer> Answers;
    for (const Json &Number : Array) {
      const int Value = Number.get<int>();
      if (Value < 0 || Value > LastAnswer)
        throw std::out_of_range("unknown answer to a ledger replica");
      Answers.push_back(static_cast<ReplicaAnswer>(Value));
    }
    return Answers;
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
    LedgerHandoff Handoff;
    Handoff.Service_ = ServiceName(Object.at("service").get<std::string>());
    Handoff.CompleteSince_ =
        WallTime(Millis(Object.at("fromMs").get<std::int64_t>()));
    Handoff.Records_ = replicasFromJson(Object.at("copies"));
    return Handoff;
  });
}

} // namespace medlarmoor::request::internal
