// The clients' pools fill one server up to its maxConns. When more users come,
// that server rightly ignores their SYNs; the flows that it holds must not be
// reset by the system.
#include "world.hh"

#include <cstdlib>
#include <cstring>

using namespace world;

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  const bool trouble =
      !std::getenv("TROUBLE") || std::strcmp(std::getenv("TROUBLE"), "0") != 0;
  Record record(std::string(argv[2]) + "/record.txt");
  record.line("trouble %d", trouble ? 1 : 0);
  Loop loop;
  const std::uint32_t base = freeBase();
  const Edges::Ports ports{8172, 8167, 8166, 7720, 8169};
  const Address storeAt{base + 1, ports.store};
  Store store(loop, storeAt, record);
  const std::string folder = settingsFolder();
  Edges edges(loop, record, argv[1], folder, ports, storeAt);
  for (std::uint32_t i = 0; i < 5; ++i)
    edges.add("a", base + 11 + i);
  constexpr std::size_t MaxConns = 2000;
  constexpr std::uint32_t Servers = 2;
  std::vector<std::unique_ptr<Server>> servers;
  for (std::uint32_t i = 0; i < Servers; ++i) {
    servers.push_back(std::make_unique<Server>(
        loop, record, 0xa1000 + i * 0x111, Address{base + 31 + i, 9000},
        ports.packets, Server::Options{"feeds", "a", MaxConns, 20}));
    store.put("servers", servers.back()->id(), servers.back()->spec(false));
  }
  const Address virt{base + 100, 443};
  store.put(
      "config", "main",
      config(7, routeJson("feeds", virt, "safe", 3000, 500, "feeds"),
             "{\"name\":\"feeds\",\"healthPath\":\"/health\",\"maxConns\":" +
                 std::to_string(MaxConns) +
                 ",\"protocol\":\"h1\",\"tls\":false}"));
  edges.start();
  while (!edges.allReady() && now() < 15000)
    loop.runUntil(now() + 100);
  if (!edges.allReady())
    return edges.killAll(), 2;
  loop.runUntil(now() + 1000);

  Clients pools(loop, record, edges, base + 200, ports.packets),
      users(loop, record, edges, base + 201, ports.packets);
  int broken = 0;
  const auto judge = [&](const Clients::Flow &flow, const Packet &in) {
    for (auto &server : servers)
      if (in.sumIsZero && server->holdsOpen(flow.client, flow.virt)) {
        ++broken;
        record.line("FLOW broken: %s is open at %s, which lives, and was reset "
                    "by the system",
                    flow.name.c_str(), server->id().c_str());
      }
  };
  pools.onReset = users.onReset = judge;
  // Flows that their clients keep open after one request, and flows that ask
  // every 9 to 12 s: less than idleTimeoutMs, 15 s.
  constexpr int Dormant = 3370, Active = 200;
  std::mt19937 random(7);
  const auto dormant = [](const Clients::Flow &) { return 200'000.0; };
  const auto active = [&](const Clients::Flow &) {
    return 9000.0 + static_cast<double>(random() % 3000);
  };
  for (int i = 0; i < Dormant; ++i) {
    pools.open(virt, dormant);
    loop.runUntil(now() + 2.5);
  }
  for (int i = 0; i < Active; ++i) {
    pools.open(virt, active);
    loop.runUntil(now() + 20);
  }
  // 16 users come each second and keep their flows for 20 s. With the trouble
  // 2.5 times as many come for 6.8 s.
  const auto used = [](const Clients::Flow &flow) {
    return flow.requests >= 3 ? -1.0 : 10000.0;
  };
  const double started = now();
  const double burstFrom = started + 24000, burstTo = burstFrom + 6800,
               end = burstTo + 14000;
  int come = 0;
  while (now() < end) {
    users.open(virt, used);
    ++come;
    const bool burst = trouble && now() >= burstFrom && now() < burstTo;
    loop.runUntil(now() + 1000.0 / (burst ? 16 * 2.5 : 16));
  }
  std::size_t reset = 0;
  for (const auto &flow : pools.flows)
    reset += flow->end == "reset by the system" ? 1 : 0;
  for (auto &server : servers)
    record.line(
        "%s: flows held %zu, SYNs taken %llu, SYNs ignored as full %llu",
        server->id().c_str(), server->flows(),
        (unsigned long long)server->synsTaken,
        (unsigned long long)server->synsIgnored);
  record.line("pooled flows %d, reset by the system %zu; users %d; open flows "
              "reset by the system %d; edges that ended by themselves %d",
              Dormant + Active, reset, come, broken, edges.unasked);
  edges.killAll();
  return broken > 0 ? 1 : 0;
}
