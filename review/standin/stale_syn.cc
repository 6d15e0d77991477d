// One of three machines freezes for 4 s and wakes again. It then sends the
// SYNs that waited in its socket to servers of its own choice. The flows of
// these SYNs were opened through the other machines long ago; seconds later
// they must still reach their own servers.
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
  for (std::uint32_t i = 0; i < 3; ++i)
    edges.add("a", base + 11 + i);
  std::vector<std::unique_ptr<Server>> servers;
  for (std::uint32_t i = 0; i < 6; ++i) {
    servers.push_back(std::make_unique<Server>(
        loop, record, 0xa1000 + i * 0x111, Address{base + 31 + i, 9000},
        ports.packets, Server::Options{"orders", "a", 2000, 30}));
    store.put("servers", servers.back()->id(), servers.back()->spec(false));
  }
  const Address virt{base + 100, 443};
  store.put(
      "config", "main",
      config(7, routeJson("orders", virt, "unsafe", 1200, 200, "orders"),
             "{\"name\":\"orders\",\"healthPath\":\"/"
             "health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}"));
  edges.start();
  while (!edges.allReady() && now() < 15000)
    loop.runUntil(now() + 100);
  if (!edges.allReady())
    return edges.killAll(), 2;
  loop.runUntil(now() + 1000);

  Clients clients(loop, record, edges, base + 200, ports.packets);
  clients.setDeadline(1200);
  double frozenUntil = -1e9;
  constexpr double StableWindowMs = 4000;
  int broken = 0, excused = 0;
  clients.onReset = [&](const Clients::Flow &flow, const Packet &) {
    for (auto &server : servers)
      if (server->holdsOpen(flow.client, flow.virt)) {
        const bool inTouch = now() - frozenUntil > StableWindowMs;
        ++(inTouch ? broken : excused);
        record.line(
            "%s: %s is open at %s, which lives, and was reset by another",
            inTouch ? "FLOW broken" : "excused", flow.name.c_str(),
            server->id().c_str());
      }
  };
  // Each flow asks five times, 9 to 10 s after the last answer, which is less
  // than idleTimeoutMs, 15 s.
  std::mt19937 random(7);
  const auto pause = [&](const Clients::Flow &flow) {
    return flow.requests >= 4 ? -1.0
                              : 9000.0 + static_cast<double>(random() % 1000);
  };
  const double started = now();
  const auto begin = [&](double until) {
    // 20 flows begin each second.
    while (now() < until) {
      clients.open(virt, pause);
      loop.runUntil(now() + 50);
    }
  };
  begin(started + 5000);
  if (trouble) {
    edges.signal(0, SIGSTOP);
    frozenUntil = now() + 4000;
    loop.after(4000, [&edges] { edges.signal(0, SIGCONT); });
  }
  begin(started + 15000);
  loop.runUntil(started + 50000);
  std::size_t closed = 0, cut = 0;
  for (const auto &flow : clients.flows) {
    closed += flow->end == "closed" ? 1 : 0;
    if (flow->end != "closed") {
      cut += flow->end == "not opened" || flow->end == "no answer" ? 1 : 0;
      record.line("%s ended: %s after %d requests", flow->name.c_str(),
                  flow->end.c_str(), flow->requests);
    }
  }
  record.line("flows %zu, complete %zu, not opened or not answered in time "
              "%zu, reset by a server that isn't theirs while all machines are "
              "in touch %d, earlier %d, edges that ended by themselves %d",
              clients.flows.size(), closed, cut, broken, excused,
              edges.unasked);
  edges.killAll();
  return broken > 0 ? 1 : 0;
}
