#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/internal_proof.hpp>
#include <medlarmoor/ctl/internal_publish.hpp>
#include <medlarmoor/ctl/internal_unreachable.hpp>
#include <medlarmoor/platform/publish.hpp>
#include <medlarmoor/platform/read_document.hpp>

namespace medlarmoor::ctl {

using nlohmann::ordered_json;

namespace {

std::string number(ConfigVersion Version) {
  return std::to_string(Version.value());
}

Outcome notSeen(const Options &Asked, ConfigVersion There) {
  Outcome Out;
  Out.Code_ = ExitCode::Conflict;
  Out.Text_ = Asked.From_ + ": conflict, version " + number(There) +
              " is there and not version " + number(*Asked.Seen_) +
              "; nothing was written\n";
  Out.Json_ = {{"result", "conflict"},
               {"environment", Asked.From_},
               {"version", There.value()}};
  return Out;
}

Outcome notProven(const Options &Asked,
                  const std::vector<internal::Obstacle> &Why) {
  Outcome Out;
  Out.Code_ = ExitCode::NotProven;
  Out.Text_ = Asked.From_ + ": version " + number(*Asked.Seen_) +
              " is not proven; nothing was written\n";
  Out.Json_ = {{"result", "not_proven"},
               {"environment", Asked.From_},
               {"version", Asked.Seen_->value()},
               {"obstacles", ordered_json::array()}};
  for (const internal::Obstacle &Each : Why) {
    Out.Json_["obstacles"].push_back(
        {{"entry", Each.Entry_.value()}, {"reason", Each.Reason_}});
    Out.Text_ += "  " + Each.Entry_.value() +
                 (Each.Entry_.value().empty() ? "" : " ") + Each.Reason_ + "\n";
  }
  return Out;
}

} // namespace

Outcome promote(const Options &Asked) {
  const platform::SyncClient From(*Asked.Platform_, Asked.Patience_);
  std::string Reason;
  const auto Trial = platform::readDocument(From, Asked.From_, Reason);
  if (!Trial)
    return internal::unreachable(Asked.From_, Reason);
  const ConfigVersion Version = Trial->Manifest_.Version_;
  if (Version != *Asked.Seen_ || Version == ConfigVersion(0))
    return notSeen(Asked, Version);
  const auto Fleet = internal::readFleet(From, Asked.From_, Reason);
  if (!Fleet)
    return internal::unreachable(Asked.From_, Reason);
  const auto Why = internal::obstacles(*Fleet, Version, Asked.Proving_);
  if (!Why.empty())
    return notProven(Asked, Why);
  config::Publication What{Trial->Parts_, Asked.Over_,
                           config::Origin{Asked.From_, Version},
                           internal::makeToken()};
  Outcome Out = internal::reportPublish(
      Asked.To_, platform::publish(*Asked.Platform_, Asked.To_, std::move(What),
                                   Asked.Patience_));
  Out.Json_["from"] = {{"environment", Asked.From_},
                       {"version", Version.value()}};
  return Out;
}

} // namespace medlarmoor::ctl
