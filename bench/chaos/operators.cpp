#include <bench/chaos/operators.hpp>

#include <harness/wait.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace medlarmoor::bench::chaos {

using nlohmann::json;

namespace {

constexpr Millis CommandLimit = Seconds(30);
/// Exit codes of medlarmoorctl.
constexpr int DoneCode = 0;
constexpr int UncertainCode = 5;

} // namespace

void Operators::apply(const config::Environment &Document) {
  start(Document, 0);
}

void Operators::race(const std::vector<config::Environment> &Documents,
                     std::uint64_t Seen) {
  for (const config::Environment &Each : Documents)
    start(Each, Seen);
}

void Operators::start(const config::Environment &Document, std::uint64_t Seen) {
  std::vector<std::string> Arguments{"--output=json", "apply",
                                     World_.write(Document)};
  if (Seen != 0)
    Arguments.push_back("--seen=" + std::to_string(Seen));
  Running_.push_back({World_.startControl(Arguments), Seen});
}

void Operators::poll() {
  for (auto Each = Running_.begin(); Each != Running_.end();) {
    const bool Ended = !Each->Process_.running();
    if (Ended)
      takeIn(*Each);
    Each = Ended ? Running_.erase(Each) : std::next(Each);
  }
}

void Operators::takeIn(Command &Ended) {
  const int Code = Ended.Process_.wait(Millis(0)).value_or(UncertainCode);
  const json Told = json::parse(Ended.Process_.log(), nullptr, false);
  const bool Accepted = Code == DoneCode && Told.is_object() &&
                        Told.value("result", "") == "accepted";
  Uncertain_ += Code == UncertainCode ? 1 : 0;
  Refused_ += Code != UncertainCode && !Accepted ? 1 : 0;
  if (!Accepted)
    return;
  const std::uint64_t Version = Told.value("version", std::uint64_t{0});
  Versions_.push_back(Version);
  Highest_ = std::max(Highest_, Version);
  if (Ended.Seen_ != 0)
    ++Winners_[Ended.Seen_];
}

bool Operators::waitAll() {
  return harness::waitUntil(
      [this] {
        poll();
        return Running_.empty();
      },
      CommandLimit);
}

std::uint64_t Operators::doubled() const {
  const std::set<std::uint64_t> Distinct(Versions_.begin(), Versions_.end());
  const auto Races =
      std::count_if(Winners_.begin(), Winners_.end(),
                    [](const auto &Each) { return Each.second > 1; });
  return Versions_.size() - Distinct.size() + static_cast<std::uint64_t>(Races);
}

} // namespace medlarmoor::bench::chaos
