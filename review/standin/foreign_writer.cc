// Another writer overwrites the entries of a service's servers with a state
// that the protocol doesn't name; the servers' next heartbeat puts them right.
// A route that the operator adds later must be served.
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
  for (std::uint32_t i = 0; i < 3; ++i)
    edges.add("a", base + 11 + i);
  std::vector<std::unique_ptr<Server>> servers;
  for (std::uint32_t i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(
        loop, record, 0xa1000 + i * 0x111, Address{base + 31 + i, 9000},
        ports.packets, Server::Options{"sheets", "a", 2000, 10}));
    store.put("servers", servers.back()->id(), servers.back()->spec(false));
  }
  const std::string service =
      "{\"name\":\"sheets\",\"healthPath\":\"/"
      "health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}";
  const Address first{base + 100, 443}, second{base + 100, 8443};
  const std::string routes =
      routeJson("sheets", first, "download", 3000, 500, "sheets");
  store.put("config", "main", config(7, routes, service));
  edges.start();
  while (!edges.allReady() && now() < 15000)
    loop.runUntil(now() + 100);
  if (!edges.allReady())
    return edges.killAll(), 2;
  loop.runUntil(now() + 1000);

  // Every server writes its entry each 1.2 s (heartbeatMs).
  const double started = now();
  std::function<void()> heartbeat = [&] {
    for (auto &server : servers)
      store.put("servers", server->id(), server->spec(false));
    loop.after(1200, heartbeat);
  };
  heartbeat();
  loop.runUntil(started + 2000);
  if (trouble)
    for (auto &server : servers) {
      std::string foreign = server->spec(false);
      foreign.replace(foreign.find("\"ready\""), 7, "\"paused\"");
      store.put("servers", server->id(), foreign);
    }
  // Long after the entries are right again.
  loop.runUntil(started + 10000);
  store.put(
      "config", "main",
      config(9,
             routes + "," +
                 routeJson("sheets-2", second, "download", 3000, 500, "sheets"),
             service));
  const double acknowledged = now();
  constexpr double ConfigApplyMs = 3000;
  loop.runUntil(acknowledged + ConfigApplyMs + 1000);
  Clients clients(loop, record, edges, base + 200, ports.packets);
  int refused = 0;
  clients.onReset = [&](const Clients::Flow &flow, const Packet &in) {
    if (!in.sumIsZero || flow.open)
      return;
    ++refused;
    record.line("CONFIG broken: %s to the route of version 9 is refused %.0f "
                "ms after its acknowledgement, as only version 7 allows",
                flow.name.c_str(), now() - acknowledged);
  };
  const auto once = [](const Clients::Flow &) { return -1.0; };
  while (now() < acknowledged + 34000) {
    clients.open(second, once);
    loop.runUntil(now() + 100);
  }
  loop.runUntil(now() + 3000);
  int answered = 0;
  for (const auto &flow : clients.flows)
    answered += flow->end == "closed" ? 1 : 0;
  record.line("flows %zu, answered %d, refused by the system %d, edges that "
              "ended by themselves %d",
              clients.flows.size(), answered, refused, edges.unasked);
  edges.killAll();
  if (refused > 0)
    return 1;
  return answered == static_cast<int>(clients.flows.size()) ? 0 : 2;
}
