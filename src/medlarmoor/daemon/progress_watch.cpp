#include <medlarmoor/daemon/progress_watch.hpp>
#include <medlarmoor/telemetry/counter.hpp>

namespace medlarmoor::daemon {

void ProgressWatch::add(std::string Thread, const telemetry::Counter &Steps) {
  Threads_.push_back({std::move(Thread), &Steps, Steps.value(), Time_.now()});
}

void ProgressWatch::sample() {
  const TimePoint Now = Time_.now();
  for (Watched &Each : Threads_) {
    const std::uint64_t Steps = Each.Steps_->value();
    if (Steps == Each.Last_)
      continue;
    Each.Last_ = Steps;
    Each.Moved_ = Now;
  }
}

std::vector<std::string> ProgressWatch::stuck() const {
  const TimePoint Now = Time_.now();
  std::vector<std::string> Out;
  for (const Watched &Each : Threads_)
    if (Now - Each.Moved_ > StuckAfter)
      Out.push_back(Each.Thread_);
  return Out;
}

} // namespace medlarmoor::daemon
