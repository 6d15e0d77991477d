// Two of five machines freeze for 1.5 s and wake again. The others, which were
// never disrupted, must not reset open flows of servers that live.
#include "world.hh"

#include <csignal>
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
  const char *zones[] = {"norte", "norte", "sur", "este", "oeste"};
  for (std::uint32_t i = 0; i < 5; ++i)
    edges.add(zones[i], base + 11 + i);
  std::vector<std::unique_ptr<Server>> servers;
  for (std::uint32_t i = 0; i < 32; ++i) {
    servers.push_back(std::make_unique<Server>(
        loop, record, 0xa1000 + i * 0x111, Address{base + 31 + i, 9000},
        ports.packets, Server::Options{"ledger", zones[1 + i % 4], 2000, 30}));
    store.put("servers", servers.back()->id(), servers.back()->spec(false));
  }
  const Address virt{base + 100, 443};
  store.put(
      "config", "main",
      config(7, routeJson("feed", virt, "safe", 1000, 150, "ledger"),
             "{\"name\":\"ledger\",\"healthPath\":\"/"
             "health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}"));
  edges.start();
  while (!edges.allReady() && now() < 15000)
    loop.runUntil(now() + 100);
  if (!edges.allReady())
    return edges.killAll(), 2;
  loop.runUntil(now() + 1000);

  // The clients of four zones.
  std::vector<std::unique_ptr<Clients>> clients;
  for (std::uint32_t i = 0; i < 4; ++i) {
    edges.zoneOfClient[base + 200 + i] = zones[1 + i];
    clients.push_back(std::make_unique<Clients>(loop, record, edges,
                                                base + 200 + i, ports.packets));
  }
  // When each machine was last frozen.
  std::vector<double> frozenUntil(5, -1e9);
  constexpr double StableWindowMs = 4000;
  int broken = 0, excused = 0;
  const auto judge = [&](const Clients::Flow &flow, const Packet &in) {
    if (!in.sumIsZero)
      return;
    const std::size_t edge = *edges.choose(flow.client, flow.virt);
    for (auto &server : servers)
      if (server->holdsOpen(flow.client, flow.virt)) {
        const bool inTouch = now() - frozenUntil[edge] > StableWindowMs;
        ++(inTouch ? broken : excused);
        record.line("%s: %s is open at %s, which lives, and was reset by the "
                    "system through %s",
                    inTouch ? "FLOW broken" : "excused", flow.name.c_str(),
                    server->id().c_str(), edges.edges[edge].name.c_str());
      }
  };
  for (auto &each : clients)
    each->onReset = judge;
  std::mt19937 random(7);
  const auto once = [](const Clients::Flow &) { return -1.0; };
  const auto pause = [&](const Clients::Flow &flow) {
    return flow.requests >= 8 ? -1.0
                              : 1500.0 + static_cast<double>(random() % 4000);
  };
  const double started = now(), end = started + 100000;
  double nextFreeze = started + 7000;
  std::size_t round = 0, begun = 0;
  while (now() < end) {
    // 260 flows begin each second; each third one stays open for eight
    // requests.
    if (begun % 3 == 0)
      clients[random() % 4]->open(virt, pause);
    else
      clients[random() % 4]->open(virt, once);
    ++begun;
    loop.runUntil(
        std::max(now(), started + 1000.0 / 260 * static_cast<double>(begun)));
    if (trouble && now() >= nextFreeze && now() < end - 10000) {
      const std::size_t first = round % 5, second = (round + 2) % 5;
      ++round;
      for (const std::size_t i : {first, second}) {
        edges.signal(i, SIGSTOP);
        frozenUntil[i] = now() + 1500;
      }
      loop.after(1500, [&edges, first, second] {
        edges.signal(first, SIGCONT);
        edges.signal(second, SIGCONT);
      });
      nextFreeze = now() + 6000;
    }
  }
  record.line(
      "flows %zu, open flows reset by machines in touch %d, by machines that "
      "had been frozen %d, edges that ended by themselves %d",
      begun, broken, excused, edges.unasked);
  edges.killAll();
  return broken > 0 ? 1 : 0;
}
