// One datagram of 40 flows' handshakes is lost: the SYN+ACK of the first
// server that was asked. Long flows with pauses must not be reset by a server
// that isn't theirs.
#include "world.hh"

#include <cstdlib>
#include <cstring>
#include <unistd.h>

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
  edges.add("a", base + 11);
  edges.add("a", base + 12);
  edges.add("b", base + 13);
  std::vector<std::unique_ptr<Server>> servers;
  for (std::uint32_t i = 0; i < 6; ++i) {
    servers.push_back(std::make_unique<Server>(
        loop, record, 0xa1000 + i * 0x111, Address{base + 31 + i, 9000},
        ports.packets,
        Server::Options{"orders", i % 2 == 0 ? "a" : "b", 2000, 20}));
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
  constexpr int Flows = 40, Lost = 20;
  std::optional<Address> unlucky;
  bool lost = false;
  for (auto &server : servers)
    server->lose = [&](const Packet &out) {
      if (!trouble || lost || !unlucky || (out.flags & Syn) == 0 ||
          out.dst != *unlucky)
        return false;
      return lost = true;
    };
  int broken = 0;
  clients.onReset = [&](const Clients::Flow &flow, const Packet &) {
    for (auto &server : servers)
      if (server->holdsOpen(flow.client, flow.virt)) {
        ++broken;
        record.line("FLOW broken: %s is open at %s and was reset by another",
                    flow.name.c_str(), server->id().c_str());
      }
  };
  // Each flow asks four times, 2.5 s after the last answer.
  const auto pause = [](const Clients::Flow &flow) {
    return flow.requests >= 4 ? -1.0 : 2500.0;
  };
  for (int i = 0; i < Flows; ++i) {
    if (i == Lost)
      unlucky = Address{base + 200, static_cast<std::uint16_t>(20000 + i)};
    clients.open(virt, pause);
    loop.runUntil(now() + 50);
  }
  loop.runUntil(now() + 14000);
  int closed = 0;
  for (const auto &flow : clients.flows) {
    closed += flow->end == "closed" ? 1 : 0;
    if (flow->end != "closed")
      record.line("%s ended: %s after %d requests", flow->name.c_str(),
                  flow->end.c_str(), flow->requests);
  }
  record.line("flows %d, complete %d, reset by a server that isn't theirs %d, "
              "edges that ended by themselves %d",
              Flows, closed, broken, edges.unasked);
  edges.killAll();
  if (broken > 0)
    return 1;
  return closed == Flows ? 0 : 2;
}
