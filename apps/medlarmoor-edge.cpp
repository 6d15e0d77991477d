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
              "$MEDLARMOOR_NODE_FILE when empty");
DEFINE_bool(check, false, "only check the settings");

namespace {

constexpr const char *SettingsVariable = "MEDLARMOOR_NODE_FILE";

std::string settingsFile() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Variable = std::getenv(SettingsVariable);
  return Variable ? Variable : "";
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace medlarmoor;
  gflags::SetUsageMessage("the edge of a platform that keeps all state\n"
                          "  medlarmoor-edge [--settings FILE] [--check]");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);

  Findings Found;
  rejectWords(Argc, Argv, Found);
  const std::string File = settingsFile();
  if (File.empty()) {
    Found.add({"command line", 0, 0}, "no settings",
              std::string("give --settings or set ") + SettingsVariable);
    return refuse(Found);
  }
  const auto Settings = config::readEdgeSettingsFile(File, Found);
  if (!Settings || !Found.empty())
    return refuse(Found);
  if (FLAGS_check)
    return 0;

  edge::EdgeServer Server(*Settings, File, adapter::packetCodec(),
                          adapter::storeCodec(), Clock());
  if (!Server.start(Found))
    return refuse(Found);
  Server.run();
  // log4cplus joins a thread pool in its static destructor, which can outlast
  // the grace time. Nothing is left to destroy that the system does not free.
  std::fflush(nullptr);
  std::quick_exit(0);
}
