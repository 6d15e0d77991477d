#include <medlarmoor/config/read_settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/command_line.hpp>
#include <medlarmoor/core/stop_signal.hpp>
#include <medlarmoor/daemon/daemon.hpp>

#include <gflags/gflags.h>

DEFINE_string(settings, "", "TOML file with the settings of this entry");
DEFINE_string(spans, "", "file for trace spans; standard error when empty");

int main(int Argc, char **Argv) {
  using namespace medlarmoor;
  gflags::SetUsageMessage("entry daemon of the load balancer\n"
                          "  medlarmoord --settings FILE [--spans FILE]");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);

  Findings Found;
  rejectWords(Argc, Argv, Found);
  const auto Settings = config::readSettingsFile(FLAGS_settings, Found);
  if (!Settings || !Found.empty())
    return refuse(Found);

  StopSignal Stop;
  daemon::Daemon Entry(*Settings, Clock(), FLAGS_spans);
  if (!Entry.start(FLAGS_settings, Found))
    return refuse(Found);
  Stop.wait();
  Entry.leave();
  return 0;
}
