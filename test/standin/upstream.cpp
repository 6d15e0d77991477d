#include <harness/standin_main.hpp>
#include <harness/text.hpp>
#include <harness/upstream_server.hpp>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <vector>

DEFINE_string(upstreams, "", "name@address,... served by this process");
DEFINE_string(service, "", "address:port,... of their service");
DEFINE_uint64(slots, 2, "requests that each runs at once");
DEFINE_uint64(connections, 2000, "flows that each holds at once");
DEFINE_uint64(seed, 1, "seed of the service times");

namespace {

using namespace medlarmoor;
using namespace medlarmoor::harness;

std::set<Endpoint> serviceAddresses() {
  std::set<Endpoint> Out;
  for (const std::string &Each : split(FLAGS_service, ','))
    Out.insert(endpointFlag("service", Each));
  return Out;
}

/// One upstream a name@address; empty when one cannot be read.
std::vector<UpstreamOptions> readUpstreams() {
  std::vector<UpstreamOptions> Out;
  for (const std::string &Each : split(FLAGS_upstreams, ',')) {
    const std::vector<std::string> Parts = split(Each, '@');
    const auto Address =
        Parts.size() == 2 ? Ipv4::parse(Parts[1]) : std::nullopt;
    if (!Address)
      return {};
    Out.push_back({Parts[0], *Address, serviceAddresses(), FLAGS_slots,
                   FLAGS_connections, FLAGS_seed + Out.size()});
  }
  return Out;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("several upstreams of one service");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const std::vector<UpstreamOptions> All = readUpstreams();
  if (All.empty())
    return cannotStart("--upstreams: expected name@address,...");
  boost::asio::io_context Io;
  std::vector<std::unique_ptr<UpstreamServer>> Servers;
  for (const UpstreamOptions &Each : All) {
    Servers.push_back(std::make_unique<UpstreamServer>(Io, Each));
    if (!Servers.back()->listen())
      return cannotStart(Servers.back()->lastReason());
  }
  runUntilStopped(Io);
  return 0;
}
