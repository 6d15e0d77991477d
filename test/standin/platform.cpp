#include <harness/platform_server.hpp>
#include <harness/standin_main.hpp>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

DEFINE_string(api, "127.0.0.1:7400", "where the object API is served");
DEFINE_string(harness, "127.0.0.1:7401", "where the harness sets faults");

int main(int Argc, char **Argv) {
  using namespace medlarmoor::harness;
  gflags::SetUsageMessage("the platform's object API, in memory");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Io;
  PlatformServer Server(Io, endpointFlag("api", FLAGS_api),
                        endpointFlag("harness", FLAGS_harness));
  if (!Server.listen())
    return cannotStart(Server.lastReason());
  runUntilStopped(Io);
  return 0;
}
