#include "world.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>

namespace world {

namespace {

constexpr std::size_t HeaderBytes = 31;
/// SYNs and data are repeated after this long; the interval of data doubles.
constexpr double RepeatMs = 200, LongestRepeatMs = 1600;
constexpr int MostRepeats = 8;
constexpr double HandshakeMs = 1400;
constexpr double GraceMs = 6000;
constexpr double RestartMs = 500;

sockaddr_in toSockaddr(Address where) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(where.ip);
  out.sin_port = htons(where.port);
  return out;
}

[[noreturn]] void cannotRun(const std::string &why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

int openSocket(int type, Address where) {
  const int out = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int yes = 1;
  if (type == SOCK_STREAM)
    setsockopt(out, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const int room = 4 << 20;
  setsockopt(out, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
  const sockaddr_in local = toSockaddr(where);
  if (bind(out, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0)
    cannotRun(text(where) + " is not free");
  return out;
}

void put16(std::string &out, std::size_t at, std::uint32_t value) {
  out[at] = static_cast<char>(value >> 8);
  out[at + 1] = static_cast<char>(value);
}
void put32(std::string &out, std::size_t at, std::uint32_t value) {
  put16(out, at, value >> 16);
  put16(out, at + 2, value);
}
std::uint32_t get16(const unsigned char *in) { return (in[0] << 8U) | in[1]; }
std::uint32_t get32(const unsigned char *in) {
  return (get16(in) << 16U) | get16(in + 2);
}

/// The keyed sum of the two ends, over all but the echo and BOUNCED.
std::uint32_t sum(std::string bytes) {
  put32(bytes, 11, 0);
  put32(bytes, 15, 0);
  bytes[0] = static_cast<char>(bytes[0] & ~Bounced);
  std::uint32_t hash = 0x5eed1234U;
  for (const unsigned char c : bytes)
    hash = (hash ^ c) * 16777619U;
  return hash == 0 ? 1 : hash;
}

std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33U);
}

std::uint64_t unixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string query(const std::string &target, const std::string &key) {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos)
    return {};
  std::size_t at = mark + 1;
  while (at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    if (target.compare(at, key.size() + 1, key + "=") == 0)
      return target.substr(at + key.size() + 1, end - at - key.size() - 1);
    at = end + 1;
  }
  return {};
}

} // namespace

std::string ipText(std::uint32_t ip) {
  return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) +
         "." + std::to_string((ip >> 8U) & 255U) + "." +
         std::to_string(ip & 255U);
}

std::string text(Address where) {
  return ipText(where.ip) + ":" + std::to_string(where.port);
}

double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void Loop::at(double when, std::function<void()> action) {
  timers_.emplace(when, std::move(action));
}

void Loop::watch(int descriptor, bool forWriting,
                 std::function<void()> action) {
  watched_[descriptor] = {forWriting, std::move(action)};
}

void Loop::unwatch(int descriptor) { watched_.erase(descriptor); }

void Loop::runUntil(double when) {
  while (now() < when) {
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      auto action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
    double wait = when - now();
    if (!timers_.empty())
      wait = std::min(wait, timers_.begin()->first - now());
    std::vector<pollfd> polled;
    for (const auto &[descriptor, entry] : watched_)
      polled.push_back(
          {descriptor, static_cast<short>(entry.first ? POLLOUT : POLLIN), 0});
    const auto micros = static_cast<long>(std::max(0.0, wait) * 1000);
    const timespec limit{micros / 1'000'000, (micros % 1'000'000) * 1000};
    if (ppoll(polled.data(), polled.size(), &limit, nullptr) <= 0)
      continue;
    for (const pollfd &each : polled)
      if (each.revents != 0)
        if (const auto found = watched_.find(each.fd);
            found != watched_.end()) {
          const auto action = found->second.second;
          action();
        }
  }
}

Record::Record(const std::string &path) : file_(std::fopen(path.c_str(), "w")) {
  if (!file_)
    cannotRun("no " + path);
  std::setvbuf(file_, nullptr, _IOLBF, 1 << 16);
}

void Record::line(const char *format, ...) {
  std::fprintf(file_, "%10.1f ", now());
  va_list values;
  va_start(values, format);
  std::vfprintf(file_, format, values);
  va_end(values);
  std::fputc('\n', file_);
}

std::string encode(const Packet &packet) {
  std::string out(HeaderBytes, '\0');
  out[0] = static_cast<char>(packet.flags);
  put16(out, 1, static_cast<std::uint32_t>(packet.data.size()));
  put32(out, 3, packet.seq);
  put32(out, 7, packet.ack);
  put32(out, 11, packet.echo);
  put32(out, 19, packet.src.ip);
  put16(out, 23, packet.src.port);
  put16(out, 25, packet.dst.port);
  put32(out, 27, packet.dst.ip);
  out += packet.data;
  put32(out, 15, sum(out));
  return out;
}

std::optional<Packet> decode(const char *bytes, std::size_t size) {
  const auto *in = reinterpret_cast<const unsigned char *>(bytes);
  if (size < HeaderBytes || size != HeaderBytes + get16(in + 1))
    return std::nullopt;
  Packet out;
  out.flags = in[0];
  out.seq = get32(in + 3);
  out.ack = get32(in + 7);
  out.echo = get32(in + 11);
  out.src = {get32(in + 19), static_cast<std::uint16_t>(get16(in + 23))};
  out.dst = {get32(in + 27), static_cast<std::uint16_t>(get16(in + 25))};
  out.data.assign(bytes + HeaderBytes, size - HeaderBytes);
  out.sumIsZero = get32(in + 15) == 0;
  out.genuine = get32(in + 15) == sum(std::string(bytes, size));
  return out;
}

// The store.

Store::Store(Loop &loop, Address where, Record &record)
    : loop_(loop), record_(record), listener_(openSocket(SOCK_STREAM, where)) {
  if (listen(listener_, 128) != 0)
    cannotRun("the store can't listen");
  loop_.watch(listener_, false, [this] { accept(); });
}

std::string Store::json(const std::string &name, const Object &object) {
  return "{\"meta\":{\"name\":\"" + name +
         "\",\"revision\":" + std::to_string(object.revision) +
         ",\"created\":" + std::to_string(object.created) +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
         ",\"status\":{}}";
}

void Store::put(const std::string &kind, const std::string &name,
                const std::string &spec) {
  const auto [at, created] = objects_[kind].try_emplace(name);
  if (!created && at->second.spec == spec)
    return;
  at->second.spec = spec;
  at->second.revision = ++revision_;
  if (created)
    at->second.created = revision_;
  record_.line("store: %s/%s revision %llu %s", kind.c_str(), name.c_str(),
               static_cast<unsigned long long>(revision_),
               kind == "servers" ? spec.c_str() : "");
  changed(kind, name, at->second, false);
}

void Store::remove(const std::string &kind, const std::string &name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end())
    return;
  Object last = found->second;
  objects_[kind].erase(found);
  last.revision = ++revision_;
  record_.line("store: %s/%s removed at revision %llu", kind.c_str(),
               name.c_str(), static_cast<unsigned long long>(revision_));
  changed(kind, name, last, true);
}

void Store::changed(const std::string &kind, const std::string &name,
                    const Object &object, bool deleted) {
  history_.push_back({revision_, kind,
                      "{\"object\":" + json(name, object) + ",\"deleted\":" +
                          (deleted ? "true" : "false") + "}"});
  const auto calls = waiting_;
  for (const auto &call : calls)
    if (call->kind == kind)
      answerWatch(call);
}

void Store::accept() {
  sockaddr_in remote{};
  socklen_t length = sizeof(remote);
  const int descriptor =
      accept4(listener_, reinterpret_cast<sockaddr *>(&remote), &length,
              SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0)
    return;
  auto call = std::make_shared<Call>();
  call->descriptor = descriptor;
  call->peer = ntohl(remote.sin_addr.s_addr);
  loop_.watch(descriptor, false, [this, call] { read(call); });
}

void Store::read(const std::shared_ptr<Call> &call) {
  char bytes[4096];
  const ssize_t size = ::read(call->descriptor, bytes, sizeof(bytes));
  if (size <= 0) {
    loop_.unwatch(call->descriptor);
    close(call->descriptor);
    std::erase(waiting_, call);
    return;
  }
  call->input.append(bytes, static_cast<std::size_t>(size));
  if (call->waiting || call->input.find("\r\n\r\n") == std::string::npos)
    return;
  const std::size_t first = call->input.find(' ');
  const std::size_t second = call->input.find(' ', first + 1);
  handle(call, call->input.substr(first + 1, second - first - 1));
}

void Store::handle(const std::shared_ptr<Call> &call,
                   const std::string &target) {
  call->waiting = true;
  if (silentFor.contains(call->peer))
    return;
  const std::string prefix = "/medlarmoor/objects/";
  const std::string path = target.substr(0, target.find('?'));
  if (path.compare(0, prefix.size(), prefix) != 0)
    return reply(call, 404, "{}");
  call->kind = path.substr(prefix.size());
  if (const std::string watch = query(target, "watch"); !watch.empty()) {
    call->watch = std::stoull(watch);
    const double wait = std::stod("0" + query(target, "waitMs"));
    waiting_.push_back(call);
    answerWatch(call);
    loop_.after(wait, [this, weak = std::weak_ptr(call)] {
      const auto ended = weak.lock();
      if (!ended ||
          std::find(waiting_.begin(), waiting_.end(), ended) == waiting_.end())
        return;
      std::erase(waiting_, ended);
      reply(ended, 200,
            "{\"events\":[],\"storeRevision\":" + std::to_string(revision_) +
                "}");
    });
    return;
  }
  const std::string after = query(target, "after");
  std::string items;
  for (const auto &[name, object] : objects_[call->kind])
    if (name > after)
      items += (items.empty() ? "" : ",") + json(name, object);
  reply(call, 200,
        "{\"items\":[" + items + "],\"more\":false,\"storeRevision\":" +
            std::to_string(revision_) + "}");
}

void Store::answerWatch(const std::shared_ptr<Call> &call) {
  std::string events;
  for (const Event &event : history_)
    if (event.kind == call->kind && event.revision > call->watch)
      events += (events.empty() ? "" : ",") + event.json;
  if (events.empty())
    return;
  std::erase(waiting_, call);
  reply(call, 200,
        "{\"events\":[" + events +
            "],\"storeRevision\":" + std::to_string(revision_) + "}");
}

void Store::reply(const std::shared_ptr<Call> &call, int status,
                  const std::string &body) {
  // An answer takes 4 ms.
  loop_.after(4, [this, call, status, body] {
    std::string out =
        "HTTP/1.1 " + std::to_string(status) +
        " x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n" +
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < out.size()) {
      const ssize_t size = ::send(call->descriptor, out.data() + sent,
                                  out.size() - sent, MSG_NOSIGNAL);
      if (size > 0)
        sent += static_cast<std::size_t>(size);
      else if (errno == EAGAIN)
        usleep(200);
      else
        break;
    }
    loop_.unwatch(call->descriptor);
    close(call->descriptor);
  });
}

// The edges and the routers.

Edges::Edges(Loop &loop, Record &record, std::string program,
             std::string folder, Ports ports, Address store)
    : loop_(loop), record_(record), program_(std::move(program)),
      folder_(std::move(folder)), ports_(ports), store_(store),
      socket_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {}

void Edges::add(const std::string &zone, std::uint32_t ip) {
  Edge edge;
  edge.name = "edge-" + std::to_string(edges.size() + 1);
  edge.ip = ip;
  edge.settings = folder_ + "/" + edge.name + ".toml";
  edge.log = folder_ + "/" + edge.name + ".log";
  edges.push_back(edge);
  zones_.push_back(zone);
}

void Edges::start() {
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, edges.size()); ++i)
    seeds +=
        (i == 0 ? "\"" : ", \"") + text({edges[i].ip, ports_.control}) + "\"";
  for (std::size_t i = 0; i < edges.size(); ++i) {
    Edge &edge = edges[i];
    std::FILE *file = std::fopen(edge.settings.c_str(), "w");
    // platform/edge.toml.in, filled in.
    std::fprintf(
        file,
        "name = \"%s\"\ndomain = \"%s\"\naddress = \"%s\"\nstore = "
        "\"%s\"\nseeds = [%s]\nlog_level = \"INFO\"\n\n"
        "[listen]\npackets = \"%s\"\nreadiness = \"%s\"\nreadiness_path = "
        "\"/medlarmoor/ready\"\npeers = \"%s\"\n"
        "gossip = \"%s\"\nmetrics = \"%s\"\n\n"
        "[bounds]\ngrace_s = 6\nflow_age_limit_s = 60\napply_limit_ms = "
        "3000\ndrain_limit_ms = 3000\n",
        edge.name.c_str(), zones_[i].c_str(), ipText(edge.ip).c_str(),
        text(store_).c_str(), seeds.c_str(),
        text({edge.ip, ports_.packets}).c_str(),
        text({edge.ip, ports_.ready}).c_str(),
        text({edge.ip, ports_.control}).c_str(),
        text({edge.ip, ports_.internal}).c_str(),
        text({edge.ip, 9464}).c_str());
    std::fclose(file);
    launch(edge);
    loop_.after(50.0 * static_cast<double>(i), [this, i] { probe(i); });
  }
  reap();
}

void Edges::launch(Edge &edge) {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0)
    cannotRun("fork");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(1);
    const int log = open(edge.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("MEDLARMOOR_NODE_FILE", edge.settings.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), nullptr);
    _exit(127);
  }
  edge.pid = pid;
  edge.stopAt = 0;
  record_.line("platform: %s starts", edge.name.c_str());
}

void Edges::reap() {
  for (Edge &edge : edges) {
    int status = 0;
    if (edge.pid != 0 && edge.stopAt != 0 && now() >= edge.stopAt + GraceMs)
      kill(edge.pid, SIGKILL);
    if (edge.pid != 0 && waitpid(edge.pid, &status, WNOHANG) == edge.pid) {
      record_.line("platform: %s ended, status %d", edge.name.c_str(), status);
      if (edge.stopAt == 0) {
        ++unasked;
        if (WIFEXITED(status) &&
            (WEXITSTATUS(status) == 127 || WEXITSTATUS(status) == 2))
          cannotRun("an edge doesn't start, see its log");
      }
      edge.pid = 0;
      if (edge.restart)
        loop_.after(RestartMs, [this, &edge] { launch(edge); });
    }
  }
  loop_.after(20, [this] { reap(); });
}

void Edges::stop(std::size_t index) {
  record_.line("platform: SIGTERM to %s", edges[index].name.c_str());
  edges[index].stopAt = now();
  kill(edges[index].pid, SIGTERM);
}

void Edges::signal(std::size_t index, int number) {
  record_.line("platform: signal %d to %s", number, edges[index].name.c_str());
  if (number == SIGKILL)
    edges[index].stopAt = now();
  kill(edges[index].pid, number);
}

void Edges::killAll() {
  for (Edge &edge : edges) {
    edge.restart = false;
    if (edge.pid != 0) {
      kill(edge.pid, SIGKILL);
      waitpid(edge.pid, nullptr, 0);
      edge.pid = 0;
    }
  }
}

bool Edges::allReady() const {
  return std::all_of(edges.begin(), edges.end(),
                     [](const Edge &edge) { return edge.inRotation; });
}

void Edges::probe(std::size_t index) {
  loop_.after(500, [this, index] { probe(index); });
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in remote = toSockaddr({edges[index].ip, ports_.ready});
  connect(descriptor, reinterpret_cast<const sockaddr *>(&remote),
          sizeof(remote));
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, index, descriptor, done](bool ready) {
    if (*done)
      return;
    *done = true;
    loop_.unwatch(descriptor);
    close(descriptor);
    Edge &edge = edges[index];
    const bool before = edge.inRotation;
    edge.misses = ready ? 0 : edge.misses + 1;
    edge.inRotation = ready || (before && edge.misses < 2);
    if (before != edge.inRotation)
      record_.line("routers: %s %s rotation", edge.name.c_str(),
                   edge.inRotation ? "in" : "out of");
  };
  loop_.after(450, [finish] { finish(false); });
  loop_.watch(descriptor, true, [this, descriptor, finish] {
    const std::string request = "GET /medlarmoor/ready HTTP/1.1\r\nHost: "
                                "edge\r\nConnection: close\r\n\r\n";
    if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) <= 0)
      return finish(false);
    loop_.watch(descriptor, false, [descriptor, finish] {
      char bytes[512] = {};
      const ssize_t size = ::read(descriptor, bytes, sizeof(bytes) - 1);
      finish(size > 12 && std::strncmp(bytes + 9, "200", 3) == 0);
    });
  });
}

std::optional<std::size_t> Edges::choose(Address client, Address virt) const {
  const auto zone = zoneOfClient.find(client.ip);
  const auto among = [&](bool ofZone, bool inRotation) {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < edges.size(); ++i)
      if ((!ofZone || zone == zoneOfClient.end() ||
           zones_[i] == zone->second) &&
          (!inRotation || edges[i].inRotation))
        found.push_back(i);
    return found;
  };
  // The edges of the zone that are in rotation; all of the zone if these are
  // fewer than half; those of other zones if there are none.
  std::vector<std::size_t> candidates = among(true, true);
  if (candidates.empty())
    candidates = among(false, true);
  else if (const auto all = among(true, false);
           candidates.size() * 2 < all.size())
    candidates = all;
  if (candidates.empty())
    candidates = among(true, false);
  std::optional<std::size_t> best;
  std::uint64_t highest = 0;
  for (const std::size_t i : candidates) {
    const std::uint64_t key =
        mix((std::uint64_t{client.ip} << 16U | client.port) * 31 +
            (std::uint64_t{virt.ip} << 16U | virt.port)) ^
        edges[i].ip;
    if (!best || mix(key) > highest) {
      best = i;
      highest = mix(key);
    }
  }
  return best;
}

void Edges::route(const Packet &packet) {
  const auto index = choose(packet.src, packet.dst);
  if (!index)
    return;
  const std::string bytes = encode(packet);
  const sockaddr_in remote = toSockaddr({edges[*index].ip, ports_.packets});
  sendto(socket_, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr *>(&remote), sizeof(remote));
}

// Servers.

Server::Server(Loop &loop, Record &record, std::uint64_t number, Address where,
               std::uint16_t clientPort, Options its)
    : options(std::move(its)), loop_(loop), record_(record), number_(number),
      where_(where), clientPort_(clientPort),
      socket_(openSocket(SOCK_DGRAM, where)), born_(unixMs()),
      random_(std::random_device{}()) {
  loop_.watch(socket_, false, [this] { receive(); });
}

Server::~Server() {
  loop_.unwatch(socket_);
  close(socket_);
}

std::string Server::id() const {
  char out[32];
  std::snprintf(out, sizeof(out), "i-%08llx",
                static_cast<unsigned long long>(number_));
  return out;
}

std::string Server::spec(bool draining) const {
  return "{\"service\":\"" + options.service + "\",\"address\":\"" +
         text(where_) + "\",\"zone\":\"" + options.zone +
         "\",\"version\":\"v1\",\"concurrency\":2,\"state\":\"" +
         (draining ? "draining" : "ready") +
         "\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":" +
         std::to_string(born_) + "}";
}

bool Server::holdsOpen(Address client, Address virt) const {
  const auto found = flows_.find({client, virt});
  return found != flows_.end() && found->second.open;
}

void Server::receive() {
  char bytes[2048];
  for (;;) {
    const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
    if (size < 8)
      return;
    const auto *in = reinterpret_cast<const unsigned char *>(bytes);
    const std::uint64_t meant =
        (std::uint64_t{get32(in)} << 32U) | get32(in + 4);
    const auto packet = decode(bytes + 8, static_cast<std::size_t>(size) - 8);
    if (packet && packet->genuine && (meant == 0 || meant == number_))
      handle(*packet);
  }
}

void Server::handle(const Packet &in) {
  const Key key{in.src, in.dst};
  const auto found = flows_.find(key);
  if ((in.flags & Syn) != 0) {
    if (found != flows_.end()) {
      if (found->second.open)
        return;
      found->second.echo = in.echo;
      Packet again;
      again.flags = Syn | Ack;
      again.seq = found->second.iss;
      again.ack = found->second.received;
      return send(found->second, again);
    }
    if (flows_.size() >= options.maxConns) {
      ++synsIgnored;
      return;
    }
    ++synsTaken;
    Flow &flow = flows_[key];
    flow.client = in.src;
    flow.virt = in.dst;
    flow.iss = random_();
    flow.next = flow.iss + 1;
    flow.received = in.seq + 1;
    flow.echo = in.echo;
    return sendSynAck(key);
  }
  if (found == flows_.end() ||
      (!found->second.open && in.ack != found->second.iss + 1)) {
    if ((in.flags & Rst) != 0)
      return;
    Flow none;
    none.client = in.src;
    none.virt = in.dst;
    none.echo = in.echo;
    Packet out;
    out.flags = Rst;
    out.seq = in.ack;
    ++resetsSent;
    resets.push_back(in.src);
    record_.line("%s: resets %s, a flow that it doesn't hold", id().c_str(),
                 text(in.src).c_str());
    send(none, out);
    if (found != flows_.end())
      flows_.erase(found);
    return;
  }
  Flow &flow = found->second;
  if (!flow.open)
    record_.line("%s: flow %s is open", id().c_str(), text(in.src).c_str());
  flow.open = true;
  flow.echo = in.echo;
  if ((in.flags & Rst) != 0) {
    flows_.erase(found);
    return;
  }
  std::erase_if(flow.unacked, [&](const auto &sent) {
    return static_cast<std::int32_t>(in.ack -
                                     (sent.first + sent.second.size())) >= 0;
  });
  if (!in.data.empty() && in.seq == flow.received) {
    flow.received += static_cast<std::uint32_t>(in.data.size());
    ++runs;
    ++ran[in.data];
    record_.line("%s: runs %s", id().c_str(), in.data.c_str());
    loop_.after(options.workMs, [this, key, request = in.data] {
      const auto at = flows_.find(key);
      if (at == flows_.end())
        return;
      const std::uint32_t seq = at->second.next;
      at->second.unacked[seq] = "answer to " + request;
      at->second.next +=
          static_cast<std::uint32_t>(at->second.unacked[seq].size());
      sendData(key, seq);
    });
  }
  if ((in.flags & Fin) != 0) {
    Packet out;
    out.flags = Fin | Ack;
    out.seq = flow.next;
    out.ack = in.seq + 1;
    send(flow, out);
    flows_.erase(found);
  }
}

void Server::sendSynAck(const Key &key) {
  const auto found = flows_.find(key);
  if (found == flows_.end() || found->second.open)
    return;
  Flow &flow = found->second;
  if (flow.synAcks > MostRepeats) {
    flows_.erase(found);
    return;
  }
  Packet out;
  out.flags = Syn | Ack;
  out.seq = flow.iss;
  out.ack = flow.received;
  send(flow, out);
  loop_.after(std::min(RepeatMs * (1 << flow.synAcks), LongestRepeatMs),
              [this, key] { sendSynAck(key); });
  ++flow.synAcks;
}

void Server::sendData(const Key &key, std::uint32_t seq) {
  const auto found = flows_.find(key);
  if (found == flows_.end() || !found->second.unacked.contains(seq) ||
      found->second.sends[seq] > MostRepeats)
    return;
  Flow &flow = found->second;
  Packet out;
  out.flags = Ack;
  out.seq = seq;
  out.ack = flow.received;
  out.data = flow.unacked[seq];
  send(flow, out);
  loop_.after(std::min(RepeatMs * (1 << flow.sends[seq]), LongestRepeatMs),
              [this, key, seq] { sendData(key, seq); });
  ++flow.sends[seq];
}

void Server::send(const Flow &flow, Packet out) {
  out.src = flow.virt;
  out.dst = flow.client;
  out.echo = flow.echo;
  if (lose(out)) {
    record_.line("network: a datagram from %s to %s is lost, flags %u",
                 id().c_str(), text(flow.client).c_str(), out.flags);
    return;
  }
  const std::string bytes = encode(out);
  const sockaddr_in remote = toSockaddr({flow.client.ip, clientPort_});
  sendto(socket_, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr *>(&remote), sizeof(remote));
}

// Clients.

Clients::Clients(Loop &loop, Record &record, Edges &edges, std::uint32_t ip,
                 std::uint16_t port)
    : loop_(loop), record_(record), edges_(edges), ip_(ip), port_(port),
      socket_(openSocket(SOCK_DGRAM, {ip, port})) {
  loop_.watch(socket_, false, [this] { receive(); });
}

void Clients::open(Address virt, std::function<double(const Flow &)> pause) {
  auto flow = std::make_shared<Flow>();
  flow->client = {ip_, nextPort_++};
  flow->virt = virt;
  flow->name = "flow-" + std::to_string(flows.size() + 1);
  flow->iss = random_();
  flow->seq = flow->iss + 1;
  flow->began = now();
  flows.push_back(flow);
  byEnds_[{flow->client, virt}] = flow;
  pauses_[{flow->client, virt}] = std::move(pause);
  sendSyn(flow);
}

void Clients::sendSyn(const std::shared_ptr<Flow> &flow) {
  if (flow->open || flow->over)
    return;
  if (now() - flow->began >= HandshakeMs) {
    flow->over = true;
    flow->end = "not opened";
    return;
  }
  if (flow->syns < 3) {
    Packet out;
    out.flags = Syn;
    out.seq = flow->iss;
    out.ack = static_cast<std::uint32_t>(flow->syns);
    out.src = flow->client;
    out.dst = flow->virt;
    edges_.route(out);
  }
  const double next[] = {200, 400, 800};
  loop_.after(next[std::min(flow->syns, 2)], [this, flow] { sendSyn(flow); });
  ++flow->syns;
}

void Clients::receive() {
  char bytes[2048];
  for (;;) {
    const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
    if (size < 0)
      return;
    if (const auto packet = decode(bytes, static_cast<std::size_t>(size)))
      handle(*packet);
  }
}

void Clients::handle(const Packet &in) {
  const auto found = byEnds_.find({in.dst, in.src});
  if (found == byEnds_.end() || found->second->over)
    return;
  const auto flow = found->second;
  if ((in.flags & Rst) != 0) {
    const std::uint32_t ahead = in.seq - flow->received;
    if (in.sumIsZero && flow->open && ahead + 76800 > 153600)
      return;
    if (!in.sumIsZero && !in.genuine)
      return;
    flow->over = true;
    flow->end = in.sumIsZero ? "reset by the system" : "reset by a server";
    record_.line("client: %s %s gets a reset from %s, open %d, request '%s' %s",
                 flow->name.c_str(), text(flow->client).c_str(),
                 in.sumIsZero ? "the system" : "a server", flow->open ? 1 : 0,
                 flow->request.c_str(),
                 flow->answered ? "answered" : "unanswered");
    if (onReset)
      onReset(*flow, in);
    return;
  }
  if (!in.genuine) {
    record_.line("client: %s gets a packet that no server wrote so",
                 flow->name.c_str());
    return;
  }
  // PROTOCOL.md: the last echo that it received on the flow.
  if (flow->echo != in.echo && flow->open)
    record_.line("client: %s gets another echo, %08x, flags %u",
                 flow->name.c_str(), in.echo, in.flags);
  flow->echo = in.echo;
  if ((in.flags & Syn) != 0) {
    if (flow->open)
      return;
    flow->open = true;
    flow->received = in.seq + 1;
    record_.line("client: %s %s opened, echo %08x", flow->name.c_str(),
                 text(flow->client).c_str(), in.echo);
    return ask(flow);
  }
  if (!flow->open || in.data.empty() || in.seq != flow->received) {
    if (flow->open && !in.data.empty())
      sendAck(*flow, Ack);
    return;
  }
  flow->received += static_cast<std::uint32_t>(in.data.size());
  if (!flow->answered)
    flow->seq += static_cast<std::uint32_t>(flow->request.size());
  flow->answered = true;
  if (in.data != "answer to " + flow->request)
    record_.line("client: %s WRONG ANSWER %s", flow->name.c_str(),
                 in.data.c_str());
  record_.line("client: %s gets '%s'", flow->name.c_str(), in.data.c_str());
  sendAck(*flow, Ack);
  const double pause = pauses_[found->first](*flow);
  if (pause < 0) {
    sendAck(*flow, Fin | Ack);
    flow->over = true;
    flow->end = "closed";
    return;
  }
  loop_.after(pause, [this, flow] { ask(flow); });
}

void Clients::ask(const std::shared_ptr<Flow> &flow) {
  if (flow->over)
    return;
  flow->request = flow->name + "-" + std::to_string(++flow->requests);
  flow->answered = false;
  flow->asked = now();
  flow->sends = 0;
  sendRequest(flow, flow->requests);
}

void Clients::sendRequest(const std::shared_ptr<Flow> &flow, int number) {
  if (flow->over || flow->answered || flow->requests != number)
    return;
  if (now() - flow->asked >= deadline_) {
    flow->over = true;
    flow->end = "no answer";
    record_.line("client: %s gives up '%s'", flow->name.c_str(),
                 flow->request.c_str());
    return;
  }
  Packet out;
  out.flags = Ack;
  out.seq = flow->seq;
  out.ack = flow->received;
  out.echo = flow->echo;
  out.src = flow->client;
  out.dst = flow->virt;
  out.data = flow->request;
  record_.line("client: %s sends '%s', echo %08x", flow->name.c_str(),
               flow->request.c_str(), flow->echo);
  edges_.route(out);
  loop_.after(std::min(RepeatMs * (1 << flow->sends), LongestRepeatMs),
              [this, flow, number] { sendRequest(flow, number); });
  ++flow->sends;
}

void Clients::sendAck(const Flow &flow, unsigned flags) {
  Packet out;
  out.flags = flags;
  out.seq = flow.seq;
  out.ack = flow.received;
  out.echo = flow.echo;
  out.src = flow.client;
  out.dst = flow.virt;
  edges_.route(out);
}

std::string config(unsigned version, const std::string &routes,
                   const std::string &services) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

std::string routeJson(const std::string &name, Address virt,
                      const std::string &type, int timeoutMs, int objectiveMs,
                      const std::string &service) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + ipText(virt.ip) +
         "\",\"pathPrefix\":\"/" + std::to_string(virt.port) +
         "/\",\"type\":\"" + type +
         "\",\"timeoutMs\":" + std::to_string(timeoutMs) +
         ",\"targetLatencyMs\":" + std::to_string(objectiveMs) +
         ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2}";
}

std::uint32_t freeBase() {
  std::mt19937 random(std::random_device{}());
  return (127U << 24U) | ((random() % 200 + 20) << 16U) |
         ((random() % 250 + 1) << 8U);
}

std::string settingsFolder() {
  const char *base = std::getenv("TMPDIR");
  std::string pattern = std::string(base ? base : "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(pattern.data()))
    cannotRun("no temporary folder");
  return pattern;
}

} // namespace world
