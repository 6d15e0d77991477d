#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/daemon/internal_admin_pages.hpp>
#include <medlarmoor/daemon/progress_watch.hpp>
#include <medlarmoor/telemetry/counter.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::daemon;

TEST_CASE("a thread is stuck once its counter stands still for too long") {
  const auto Time = std::make_shared<ManualClock>();
  ProgressWatch Watch{Clock(Time)};
  telemetry::Counter Flow;
  telemetry::Counter Config;
  Watch.add("flow", Flow);
  Watch.add("config", Config);
  for (int I = 0; I < 12; ++I) {
    Time->advance(Millis(500));
    Config.add();
    Watch.sample();
  }
  CHECK(Watch.stuck() == std::vector<std::string>{"flow"});
  CHECK(internal::healthPage(Watch.stuck()).Status_ == 503);
  Flow.add();
  Watch.sample();
  CHECK(Watch.stuck().empty());
  CHECK(internal::healthPage(Watch.stuck()).Status_ == 200);
}

TEST_CASE("an entry is ready with a configuration and a valid lease only") {
  const TimePoint Now(Seconds(100));
  const Nanos Lease = Seconds(1);
  membership::ControlStatus Known;
  Known.InForce_ = std::make_shared<const config::ActiveConfig>();
  Known.State_ = membership::EntryState::Live;
  Known.LeaseValid_ = true;
  Known.TickedAt_ = Now - Millis(100);
  CHECK(internal::readyPage(Known, Now, Lease, true).Status_ == 200);
  CHECK(internal::readyPage(Known, Now, Lease, false).Status_ == 503);
  CHECK(internal::readyPage(Known, Now + Seconds(1), Lease, true).Status_ ==
        503);
  auto NoDocument = Known;
  NoDocument.InForce_.reset();
  CHECK(internal::readyPage(NoDocument, Now, Lease, true).Status_ == 503);
  auto Leaving = Known;
  Leaving.LeaseValid_ = false;
  Leaving.State_ = membership::EntryState::Leaving;
  const net::HttpResponse Answer =
      internal::readyPage(Leaving, Now, Lease, true);
  CHECK(Answer.Status_ == 503);
  CHECK(Answer.Body_.find("entry is leaving") != std::string::npos);
}
