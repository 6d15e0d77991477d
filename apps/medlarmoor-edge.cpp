#include <medlarmoor/config/read_edge_settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/command_line.hpp>
#include <medlarmoor/edge/edge_server.hpp>

#include <packet.hpp>
#include <store.hpp>

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>

DEFINE_string(settings, "",
              "TOML file with the settings of this instance; "
              "the value of $MEDLARMOOR_NODE_FILE when empty");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr const char *SettingsVariable = "MEDLARMOOR_NODE_FILE";

std::string settingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Value = std::getenv(SettingsVariable);
  return Value ? Value : "";
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace medlarmoor;
  gflags::SetUsageMessage(
      "edge instance of the load balancer; all state is kept in the store\n"
      "  medlarmoor-edge [--settings FILE] [--check]");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);

  Findings Found;
  rejectWords(Argc, Argv, Found);
  const std::string SettingsPath = settingsPath();
  if (SettingsPath.empty()) {
    Found.add({"command line", 0, 0}, "no settings file",
              std::string("give --settings or set ") + SettingsVariable);
    return refuse(Found);
  }
  const auto Settings = config::readEdgeSettingsFile(SettingsPath, Found);
  if (!Settings || !Found.empty())
    return refuse(Found);
  if (FLAGS_check)
    return 0;

  edge::EdgeServer Server(*Settings, SettingsPath, adapter::packetCodec(),
                          adapter::storeCodec(), Clock());
  if (!Server.start(Found))
    return refuse(Found);
  Server.run();
  // log4cplus joins a thread pool in its static destructor, which can take
  // longer than the grace time. The operating system frees what is left.
  std::fflush(nullptr);
  std::quick_exit(0);
}
