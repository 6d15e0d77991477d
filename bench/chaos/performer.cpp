#include <bench/chaos/internal_performer.hpp>

#include <harness/json_http.hpp>

namespace medlarmoor::bench::chaos {

using harness::callJson;
using nlohmann::json;

namespace {

/// Entries that are left alone, so that someone serves.
constexpr std::size_t EntriesLeft = 2;
constexpr double SmallestWeight = 0.5;

std::uint8_t numberOf(const std::string &Entry) {
  return static_cast<std::uint8_t>(
      std::stoi(Entry.substr(Entry.rfind('-') + 1)));
}

json cutRule(const std::string &Source, const char *Port) {
  return {{"action", "cut"}, {"source", Source}, {"port", Port}};
}

} // namespace

std::string Performer::hold(Pick Which) {
  if (Do_.free().size() <= EntriesLeft)
    return {};
  return Do_.Held_[Now_.Event_] = Do_.pickEntry(Which);
}

std::string Performer::release() {
  const auto Found = Do_.Held_.find(Now_.Event_);
  if (Found == Do_.Held_.end())
    return {};
  std::string Name = Found->second;
  Do_.Held_.erase(Found);
  return Name;
}

std::string Performer::disturb(const std::string &What,
                               const std::vector<json> &Rules) {
  if (begins()) {
    for (const json &Each : Rules)
      Do_.setRule(Now_.Event_, Each);
    return What;
  }
  if (!ends())
    return {};
  Do_.removeRules(Now_.Event_);
  return "healed: " + What;
}

std::string Performer::flip(const std::string &What, Endpoint Where,
                            const std::string &On, const std::string &Off) {
  if (Now_.Phase_ == Phase::Noticed)
    return {};
  const std::string &Text = begins() ? On : Off;
  (void)callJson(Where, "POST", "/control", json::parse(Text));
  return What + " " + Text;
}

std::string Performer::operator()(const KillEntry &Each) {
  if (begins()) {
    const std::string Name = hold(Each.Entry_);
    if (Name.empty())
      return {};
    Do_.World_.killEntry(Name);
    return Name + " is killed";
  }
  if (!ends()) {
    Do_.World_.publishEntries();
    return {};
  }
  const std::string Name = release();
  if (Name.empty())
    return {};
  Do_.World_.forgetEntry(Name);
  Do_.Sampler_.forget(Name);
  return Do_.startEntry(Each.SameName_ ? numberOf(Name) : ++Do_.NextNumber_);
}

std::string Performer::operator()(const PauseEntry &Each) {
  if (begins()) {
    const std::string Name = hold(Each.Entry_);
    if (Name.empty())
      return {};
    Do_.World_.entry(Name).pause();
    return Name + " is paused";
  }
  const std::string Name = ends() ? release() : std::string();
  if (Name.empty())
    return {};
  Do_.World_.entry(Name).resume();
  return Name + " wakes";
}

std::string Performer::operator()(const CutEntries &Each) {
  const std::string From = begins() ? Do_.pickEntry(Each.From_) : "";
  const std::string To = begins() ? Do_.pickEntry(Each.To_) : "";
  if (begins() && (From.empty() || From == To))
    return {};
  json Rule{{"action", Each.OneWay_ ? "one_way" : "cut"}};
  if (begins()) {
    Rule["source"] = Do_.addressOf(From);
    Rule["destination"] = Do_.addressOf(To);
  }
  return disturb((Each.OneWay_ ? "one-way cut " : "cut ") + From + " " + To,
                 {Rule});
}

std::string Performer::operator()(const IsolateEntry &Each) {
  const std::string Name = begins() ? hold(Each.Entry_) : "";
  if (begins() && Name.empty())
    return {};
  std::vector<json> Rules;
  if (begins())
    for (const char *Port :
         {"control", "peer", "internal", "config", "platform"})
      Rules.push_back(cutRule(Do_.addressOf(Name), Port));
  if (ends())
    release();
  return disturb("isolated " + Name, Rules);
}

std::string Performer::operator()(const CutPlatform &Each) {
  const std::string Name = begins() ? Do_.pickEntry(Each.Entry_) : "";
  if (begins() && Name.empty())
    return {};
  std::vector<json> Rules;
  if (begins())
    Rules.push_back(cutRule(Do_.addressOf(Name), "platform"));
  return disturb("cut from the platform " + Name, Rules);
}

std::string Performer::operator()(const DelayEntry &Each) {
  const std::string Name = begins() ? Do_.pickEntry(Each.Entry_) : "";
  if (begins() && Name.empty())
    return {};
  json Rule{{"action", "delay"}, {"delayMs", Each.Delay_.count()}};
  if (begins())
    Rule["source"] = Do_.addressOf(Name);
  return disturb("delay of " + std::to_string(Each.Delay_.count()) + " ms " +
                     Name,
                 {Rule});
}

std::string Performer::operator()(const LoseControl &Each) {
  return disturb(
      "loss of control messages " + std::to_string(Each.Share_),
      {{{"action", "loss"}, {"loss", Each.Share_}, {"port", "control"}}});
}

std::string Performer::operator()(const SilenceEntry &Each) {
  const std::string Name = begins() ? Do_.pickEntry(Each.Entry_) : "";
  if (Name.empty())
    return {};
  const auto Answer = callJson(Do_.World_.addresses().proxyHarness(), "POST",
                               "/silence", {{"source", Do_.addressOf(Name)}});
  return "silent connections of " + Name + ": " +
         (Answer ? Answer->dump() : std::string("no answer"));
}

std::string Performer::operator()(const PlatformFault &Each) {
  return flip("platform", Do_.World_.addresses().platformHarness(), Each.On_,
              Each.Off_);
}

std::string Performer::operator()(const UpstreamFault &Each) {
  const std::string Name = Do_.pickUpstream(Each.Upstream_);
  return flip(Name, *Do_.World_.upstreamHarness(Name), Each.On_, Each.Off_);
}

std::string Performer::operator()(const CutUpstream &Each) {
  const std::string Name = begins() ? Do_.pickEntry(Each.Entry_) : "";
  if (begins() && Name.empty())
    return {};
  const std::string Upstream = Do_.pickUpstream(Each.Upstream_);
  json Rule{{"action", "cut"}};
  if (begins()) {
    Rule["source"] = Do_.addressOf(Name);
    Rule["destination"] =
        Do_.World_.upstreamHarness(Upstream)->address().text();
  }
  return disturb("cut " + Name + " from " + Upstream, {Rule});
}

std::string Performer::operator()(const DrainUpstream &Each) {
  if (Now_.Phase_ == Phase::Noticed)
    return {};
  config::Upstream &Which = Do_.upstream(Each.Upstream_);
  Which.Drain_ = begins();
  Do_.Operators_.apply(Do_.World_.document());
  return Which.Name_.value() + (begins() ? " drains" : " is back");
}

std::string Performer::operator()(const ChangeWeight &Each) {
  if (!begins())
    return {};
  config::Upstream &Which = Do_.upstream(Each.Upstream_);
  Which.Weight_ = Each.Weight_;
  Do_.Operators_.apply(Do_.World_.document());
  return "weight of " + Which.Name_.value() + " is " +
         std::to_string(Each.Weight_);
}

std::string Performer::operator()(const RaceOperators &Each) {
  if (!begins())
    return {};
  std::vector<config::Environment> Documents(Each.Operators_,
                                             Do_.World_.document());
  for (std::size_t I = 0; I < Documents.size(); ++I)
    Documents[I].Services_.front().Upstreams_.at(I).Weight_ =
        SmallestWeight + static_cast<double>(I + Now_.Event_);
  const std::uint64_t Seen = Do_.World_.highestVersion();
  Do_.Operators_.race(Documents, Seen);
  return std::to_string(Each.Operators_) + " operators race over version " +
         std::to_string(Seen);
}

std::string Performer::operator()(const ReplaceEntry &Each) {
  if (begins()) {
    const std::string Name = hold(Each.Entry_);
    return Name.empty() ? Name : Do_.startEntry(++Do_.NextNumber_);
  }
  if (!ends())
    return {};
  const std::string Name = release();
  if (Name.empty())
    return {};
  Do_.World_.beginRetiring(Name);
  Do_.Retiring_.insert(Name);
  return Name + " is asked to leave";
}

} // namespace medlarmoor::bench::chaos
