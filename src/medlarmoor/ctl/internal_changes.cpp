#include <medlarmoor/ctl/internal_changes.hpp>

#include <map>
#include <sstream>
#include <utility>

namespace medlarmoor::ctl::internal {

using namespace config;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;
/// All things of a document: kind and name, and their fields as text.
using Things = std::map<std::pair<std::string, std::string>, Fields>;

std::string text(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

std::string text(const std::vector<Endpoint> &Addresses) {
  std::string Out;
  for (const Endpoint &Each : Addresses)
    Out += (Out.empty() ? "" : " ") + Each.text();
  return Out;
}

Fields fieldsOf(const Service &Each) {
  const ServicePolicy &Policy = Each.Policy_;
  return {
      {"addresses", text(Each.Addresses_)},
      {"epsilon", text(Policy.Epsilon_)},
      {"longest_deadline_ms", std::to_string(Policy.LongestDeadline_.count())},
      {"body_bytes", std::to_string(Policy.MaxBodyBytes_)},
      {"queue_per_slot", text(Policy.QueuePerSlot_)},
      {"retry_budget", text(Policy.RetryBudget_)}};
}

Fields fieldsOf(const ServiceName &Of, const Upstream &Each) {
  return {{"service", Of.value()},
          {"domain", Each.Domain_.value()},
          {"packets", Each.Packets_.text()},
          {"requests", Each.Requests_.text()},
          {"slots", std::to_string(Each.Slots_)},
          {"connections", std::to_string(Each.Connections_)},
          {"weight", text(Each.Weight_)},
          {"drain", Each.Drain_ ? "true" : "false"}};
}

Things thingsOf(const Environment &In) {
  Things Out;
  for (const FailureDomain &Each : In.Domains_)
    Out[{"domain", Each.Name_.value()}] = {{"region", Each.Region_.value()}};
  for (const Service &Each : In.Services_) {
    Out[{"service", Each.Name_.value()}] = fieldsOf(Each);
    for (const Upstream &Behind : Each.Upstreams_)
      Out[{"upstream", Behind.Name_.value()}] = fieldsOf(Each.Name_, Behind);
  }
  return Out;
}

} // namespace

std::vector<Change> changes(const Environment &Before,
                            const Environment &After) {
  const Things Old = thingsOf(Before);
  const Things New = thingsOf(After);
  std::vector<Change> Out;
  for (const auto &[Key, Has] : Old) {
    const auto At = New.find(Key);
    if (At == New.end()) {
      Out.push_back({Key.first, Key.second, {}, "present", {}});
      continue;
    }
    for (std::size_t I = 0; I < Has.size(); ++I)
      if (Has[I] != At->second[I])
        Out.push_back({Key.first, Key.second, Has[I].first, Has[I].second,
                       At->second[I].second});
  }
  for (const auto &[Key, Has] : New)
    if (Old.count(Key) == 0)
      Out.push_back({Key.first, Key.second, {}, {}, "present"});
  return Out;
}

} // namespace medlarmoor::ctl::internal
