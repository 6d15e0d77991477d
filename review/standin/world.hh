// Stand-ins for everything around the edge instances: the platform's store and
// routers, clients and servers. They speak PROTOCOL.md on loopback addresses
// in one thread on the real clock; the edge instances are child processes.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace world {

/// An IPv4 address and a port in host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
};
std::string ipText(std::uint32_t ip);
std::string text(Address where);

/// Milliseconds of the steady clock since the start of the run.
double now();

/// Timers and descriptors of the single thread.
class Loop {
public:
  void at(double when, std::function<void()> action);
  void after(double ms, std::function<void()> action) {
    at(now() + ms, std::move(action));
  }
  void watch(int descriptor, bool forWriting, std::function<void()> action);
  void unwatch(int descriptor);
  void runUntil(double when);

private:
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::pair<bool, std::function<void()>>> watched_;
};

/// Lines of record.txt.
class Record {
public:
  explicit Record(const std::string &path);
  void line(const char *format, ...) __attribute__((format(printf, 2, 3)));

private:
  std::FILE *file_;
};

constexpr unsigned Syn = 32, Ack = 4, Fin = 128, Rst = 64, Bounced = 8;

/// One packet as its two ends see it.
struct Packet {
  unsigned flags = 0;
  std::uint32_t seq = 0, ack = 0, echo = 0;
  Address src, dst;
  std::string data;
  /// The sum is that of an end of the flow; 0 in a reset of the system.
  bool genuine = true;
  bool sumIsZero = false;
};
std::string encode(const Packet &packet);
std::optional<Packet> decode(const char *bytes, std::size_t size);

/// The platform's metadata store: lists and watches.
class Store {
public:
  Store(Loop &loop, Address where, Record &record);
  void put(const std::string &kind, const std::string &name,
           const std::string &spec);
  void remove(const std::string &kind, const std::string &name);
  /// While false, no call of a machine with this address is answered.
  std::set<std::uint32_t> silentFor;

private:
  struct Object {
    std::string spec;
    std::uint64_t revision = 0, created = 0;
  };
  struct Event {
    std::uint64_t revision;
    std::string kind, json;
  };
  struct Call {
    int descriptor;
    std::uint32_t peer;
    std::string kind;
    std::uint64_t watch = 0;
    std::string input;
    bool waiting = false;
  };
  void accept();
  void read(const std::shared_ptr<Call> &call);
  void handle(const std::shared_ptr<Call> &call, const std::string &target);
  void answerWatch(const std::shared_ptr<Call> &call);
  void reply(const std::shared_ptr<Call> &call, int status,
             const std::string &body);
  static std::string json(const std::string &name, const Object &object);
  void changed(const std::string &kind, const std::string &name,
               const Object &object, bool deleted);

  Loop &loop_;
  Record &record_;
  int listener_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> history_;
  std::vector<std::shared_ptr<Call>> waiting_;
};

/// The edge processes and the routers in front of them.
class Edges {
public:
  struct Edge {
    std::string name;
    std::uint32_t ip = 0;
    int pid = 0;
    std::string settings, log;
    bool inRotation = false;
    int misses = 0;
    bool restart = true;
    double stopAt = 0;
  };
  struct Ports {
    std::uint16_t packets, ready, control, internal, store;
  };
  Edges(Loop &loop, Record &record, std::string program, std::string folder,
        Ports ports, Address store);
  /// To be called for all edges before start().
  void add(const std::string &zone, std::uint32_t ip);
  void start();
  /// Sends a client's packet through the router of its flow's hash.
  void route(const Packet &packet);
  /// The edge that the routers choose for a flow now.
  std::optional<std::size_t> choose(Address client, Address virt) const;
  /// SIGTERM, then SIGKILL after the grace time; starts again.
  void stop(std::size_t index);
  void signal(std::size_t index, int number);
  bool allReady() const;
  void killAll();
  std::vector<Edge> edges;
  /// The zone of a client's address; the routers of a zone prefer its edges.
  std::map<std::uint32_t, std::string> zoneOfClient;
  /// Processes that ended although nobody asked them to.
  int unasked = 0;

private:
  void launch(Edge &edge);
  void probe(std::size_t index);
  void reap();
  Loop &loop_;
  Record &record_;
  std::string program_, folder_;
  Ports ports_;
  Address store_;
  std::vector<std::string> zones_;
  int socket_;
};

class Clients;

/// One server of a service.
class Server {
public:
  struct Options {
    std::string service, zone;
    std::size_t maxConns = 2000;
    double workMs = 20;
  };
  Server(Loop &loop, Record &record, std::uint64_t number, Address where,
         std::uint16_t clientPort, Options options);
  ~Server();
  std::string id() const;
  std::string spec(bool draining) const;
  /// A datagram from the server to a client is lost when this returns true.
  std::function<bool(const Packet &)> lose = [](const Packet &) {
    return false;
  };
  std::size_t flows() const { return flows_.size(); }
  bool holdsOpen(Address client, Address virt) const;
  Options options;
  std::uint64_t runs = 0, synsTaken = 0, synsIgnored = 0, resetsSent = 0;
  /// Requests that began to run, by their text.
  std::map<std::string, int> ran;
  /// The client address and port of the flows that this server has reset.
  std::vector<Address> resets;

private:
  struct Flow {
    std::uint32_t iss = 0, next = 0, received = 0, echo = 0;
    bool open = false;
    int synAcks = 0;
    Address client, virt;
    std::map<std::uint32_t, std::string> unacked;
    std::map<std::uint32_t, int> sends;
  };
  using Key = std::pair<Address, Address>;
  void receive();
  void handle(const Packet &in);
  void sendSynAck(const Key &key);
  void sendData(const Key &key, std::uint32_t seq);
  void send(const Flow &flow, Packet out);
  Loop &loop_;
  Record &record_;
  std::uint64_t number_;
  Address where_;
  std::uint16_t clientPort_;
  int socket_;
  std::uint64_t born_;
  std::map<Key, Flow> flows_;
  std::mt19937 random_;
};

/// Clients with flows that stay open for several requests.
class Clients {
public:
  struct Flow {
    Address client, virt;
    std::string name;
    std::uint32_t iss = 0, seq = 0, received = 0, echo = 0;
    bool open = false, over = false;
    int syns = 0, sends = 0;
    std::string request;
    bool answered = true;
    double began = 0, asked = 0;
    int requests = 0;
    std::string end;
  };
  Clients(Loop &loop, Record &record, Edges &edges, std::uint32_t ip,
          std::uint16_t port);
  /// Opens a flow and sends its first request; pause() says how long after an
  /// answer the next request follows, a negative pause closes the flow.
  void open(Address virt, std::function<double(const Flow &)> pause);
  void setDeadline(double ms) { deadline_ = ms; }
  std::vector<std::shared_ptr<Flow>> flows;
  /// Called for each reset of a flow that this client has open.
  std::function<void(const Flow &, const Packet &)> onReset;

private:
  void receive();
  void handle(const Packet &in);
  void sendSyn(const std::shared_ptr<Flow> &flow);
  void ask(const std::shared_ptr<Flow> &flow);
  void sendRequest(const std::shared_ptr<Flow> &flow, int number);
  void sendAck(const Flow &flow, unsigned flags);
  Loop &loop_;
  Record &record_;
  Edges &edges_;
  std::uint32_t ip_;
  std::uint16_t port_, nextPort_ = 20000;
  int socket_;
  double deadline_ = 3000;
  std::map<std::pair<Address, Address>, std::shared_ptr<Flow>> byEnds_;
  std::map<std::pair<Address, Address>, std::function<double(const Flow &)>>
      pauses_;
  std::mt19937 random_{std::random_device{}()};
};

/// config/main with one version, from routes given as JSON.
std::string config(unsigned version, const std::string &routes,
                   const std::string &services);
std::string routeJson(const std::string &name, Address virt,
                      const std::string &type, int timeoutMs, int objectiveMs,
                      const std::string &service);

/// A base for loopback addresses 127.a.b.0 that is free for this run, and
/// ports that are free on it.
std::uint32_t freeBase();
std::string settingsFolder();

} // namespace world
