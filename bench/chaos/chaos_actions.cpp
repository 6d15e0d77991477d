#include <bench/chaos/chaos_actions.hpp>
#include <bench/chaos/internal_performer.hpp>

#include <harness/json_http.hpp>
#include <harness/wait.hpp>

#include <algorithm>
#include <csignal>

namespace medlarmoor::bench::chaos {

using harness::callJson;
using nlohmann::json;

namespace {

constexpr Millis SettleLimit = Seconds(20);

} // namespace

std::string ChaosActions::perform(const Step &Now, const Event &Which) {
  return std::visit(Performer{*this, Now}, Which);
}

std::vector<std::string> ChaosActions::free() const {
  std::vector<std::string> Out;
  for (const std::string &Name : World_.entryNames()) {
    const bool Held =
        std::any_of(Held_.begin(), Held_.end(),
                    [&](const auto &Each) { return Each.second == Name; });
    if (!Held && !Joining_.contains(Name) && !Retiring_.contains(Name))
      Out.push_back(Name);
  }
  return Out;
}

std::string ChaosActions::pickEntry(Pick Which) const {
  const std::vector<std::string> Names = free();
  return Names.empty() ? std::string() : Names[Which % Names.size()];
}

std::string ChaosActions::pickUpstream(Pick Which) const {
  const std::vector<std::string> Names = World_.upstreamNames();
  return Names[Which % Names.size()];
}

config::Upstream &ChaosActions::upstream(Pick Which) {
  std::vector<config::Upstream> &All =
      World_.document().Services_.front().Upstreams_;
  return All[Which % All.size()];
}

std::string ChaosActions::addressOf(const std::string &Entry) const {
  return World_.settings(Entry).Address_.text();
}

void ChaosActions::setRule(std::size_t Index, const json &Rule) {
  std::vector<std::string> &Names = Rules_[Index];
  Names.push_back("event-" + std::to_string(Index) + "-" +
                  std::to_string(Names.size()));
  (void)callJson(World_.addresses().proxyHarness(), "PUT",
                 "/rules/" + Names.back(), Rule);
}

void ChaosActions::removeRules(std::size_t Index) {
  for (const std::string &Name : Rules_[Index])
    (void)callJson(World_.addresses().proxyHarness(), "DELETE",
                   "/rules/" + Name);
  Rules_.erase(Index);
}

std::string ChaosActions::startEntry(std::uint8_t Number) {
  const std::string Name = World_.document().Domains_.front().Name_.value() +
                           "-" + std::to_string(Number);
  if (!World_.startEntry(Number)) {
    ++FailedStarts_;
    return Name + " did not start: " + World_.lastReason();
  }
  Joining_.insert(Name);
  return Name + " starts";
}

void ChaosActions::poll() {
  Operators_.poll();
  std::erase_if(Joining_, [this](const std::string &Name) {
    const bool Ready = World_.isReady(Name);
    if (Ready)
      World_.serve(Name);
    return Ready;
  });
  std::erase_if(Retiring_, [this](const std::string &Name) {
    if (World_.entry(Name).running())
      return false;
    FailedStops_ += World_.entry(Name).wait(Millis(0)) == 0 ? 0 : 1;
    World_.forgetEntry(Name);
    Sampler_.forget(Name);
    return true;
  });
}

bool ChaosActions::healAll() {
  (void)callJson(World_.addresses().proxyHarness(), "DELETE", "/rules");
  for (const std::string &Name : World_.entryNames())
    World_.entry(Name).resume();
  return harness::waitUntil(
      [this] {
        poll();
        return Joining_.empty() && Retiring_.empty();
      },
      SettleLimit);
}

} // namespace medlarmoor::bench::chaos
