#include <bench/flows/flow_cost.hpp>
#include <bench/record.hpp>

#include <harness/flow_fleet.hpp>
#include <harness/subnet.hpp>

#include <medlarmoor/daemon/channels.hpp>
#include <medlarmoor/flow/flow_thread.hpp>

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace medlarmoor::bench {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::size_t Flows = 20'000;
constexpr int Upstreams = 15;
constexpr int Senders = 2;
constexpr int Rounds = 7;
constexpr Millis RoundTime(500);
constexpr Millis WarmTime(200);
constexpr std::size_t PayloadBytes = 400;
constexpr std::uint16_t SinkPort = 7200;
constexpr std::uint16_t RelayPort = 7300;
constexpr double LeastRatio = 0.7;
const Endpoint Address(Ipv4(0xC0000200), 443);

/// Reads a socket until it is told to stop, so that senders never block.
class Sink {
public:
  explicit Sink(net::UdpSocket &From)
      : Thread_([this, &From] {
          net::ReceiveBatch Batch;
          pollfd Ready{From.descriptor(), POLLIN, 0};
          while (!Stop_) {
            poll(&Ready, 1, 10);
            while (Batch.receive(From.descriptor()) > 0) {
            }
          }
        }) {}
  ~Sink() {
    Stop_ = true;
    Thread_.join();
  }

private:
  std::atomic<bool> Stop_{false};
  std::thread Thread_;
};

/// Sends packets of all flows in turn to one endpoint, as fast as it can.
class Flood {
public:
  Flood(Endpoint To, const std::vector<std::vector<std::byte>> &Datagrams) {
    for (int I = 0; I < Senders; ++I)
      Threads_.emplace_back([this, To, &Datagrams, I] {
        net::UdpSocket Out;
        if (!Out.open({Ipv4(0x7F000001), 0}))
          return;
        net::SendBatch Batch;
        for (std::size_t At = I * Datagrams.size() / Senders; !Stop_; ++At) {
          Batch.add(To, Datagrams[At % Datagrams.size()]);
          if (Batch.full())
            Batch.flush(Out.descriptor());
        }
      });
  }
  ~Flood() {
    Stop_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
  }

private:
  std::atomic<bool> Stop_{false};
  std::vector<std::thread> Threads_;
};

/// Receives and sends on, with the same batches and no decision.
class BareRelay {
public:
  BareRelay(Endpoint Where, Endpoint To) : To_(To) {
    Opened_ = Socket_.open(Where);
    Thread_ = std::thread([this] { run(); });
  }
  ~BareRelay() {
    Stop_ = true;
    Thread_.join();
  }
  [[nodiscard]] std::uint64_t relayed() const noexcept { return Relayed_; }
  [[nodiscard]] bool opened() const noexcept { return Opened_; }

private:
  void run() {
    net::ReceiveBatch In;
    net::SendBatch Out;
    pollfd Ready{Socket_.descriptor(), POLLIN, 0};
    while (!Stop_) {
      poll(&Ready, 1, 10);
      while (const std::size_t Count = In.receive(Socket_.descriptor())) {
        for (std::size_t I = 0; I < Count; ++I)
          Out.add(To_, In.bytes(I));
        Out.flush(Socket_.descriptor());
        Relayed_ += Count;
        if (Stop_)
          return;
      }
    }
  }

  Endpoint To_;
  net::UdpSocket Socket_;
  bool Opened_ = false;
  std::atomic<bool> Stop_{false};
  std::atomic<std::uint64_t> Relayed_{0};
  std::thread Thread_;
};

std::vector<std::vector<std::byte>> datagrams(harness::Flags Set) {
  std::vector<std::vector<std::byte>> Out;
  Out.reserve(Flows);
  const auto Header = flow::gueHeader();
  for (std::size_t I = 0; I < Flows; ++I) {
    std::vector<std::byte> Each(Header.begin(), Header.end());
    const Endpoint From(Ipv4(0x0A000000 + static_cast<std::uint32_t>(I)), 4000);
    const auto Inner = harness::buildPacket(From, Address, Set, PayloadBytes);
    Each.insert(Each.end(), Inner.begin(), Inner.end());
    Out.push_back(std::move(Each));
  }
  return Out;
}

/// Packets a second that Count grows by under a flood to To.
template <typename Fn>
double rate(Endpoint To, const std::vector<std::vector<std::byte>> &Datagrams,
            Fn Count) {
  const Flood Going(To, Datagrams);
  std::this_thread::sleep_for(WarmTime);
  const std::uint64_t Before = Count();
  const auto Start = WallClock::now();
  std::this_thread::sleep_for(RoundTime);
  const std::chrono::duration<double> Passed = WallClock::now() - Start;
  return static_cast<double>(Count() - Before) / Passed.count();
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

/// Opens all flows at the flow thread; false when it does not take them.
bool openFlows(Endpoint To, telemetry::Registry &Metrics) {
  net::UdpSocket Out;
  if (!Out.open({Ipv4(0x7F000001), 0}))
    return false;
  const telemetry::Gauge &Open = Metrics.gauge("medlarmoor_flow_open");
  const auto Firsts = datagrams(harness::Syn);
  const auto End = WallClock::now() + Seconds(20);
  while (WallClock::now() < End &&
         static_cast<std::size_t>(Open.value()) < Flows) {
    for (std::size_t I = 0; I < Flows; ++I) {
      Out.send(To, Firsts[I]);
      if (I % 500 == 0)
        std::this_thread::sleep_for(Millis(1));
    }
    std::this_thread::sleep_for(Millis(150));
  }
  return static_cast<std::size_t>(Open.value()) == Flows;
}

} // namespace

bool measureThroughput(std::uint64_t Seed) {
  const auto Net = harness::Subnet::acquire();
  net::UdpSocket SinkSocket;
  if (!Net || !SinkSocket.open({Net->address(2, 1), SinkPort}))
    return false;
  const Sink Reading(SinkSocket);
  config::Settings Told;
  Told.Name_ = EntryName("a");
  Told.Domain_ = harness::fleetDomain();
  Told.Address_ = Net->address(1, 1);
  harness::DocumentBuilder Doc;
  Doc.service("large", Upstreams, 0.25);
  for (config::Upstream &Each : Doc.at(0).Upstreams_)
    Each.Packets_ = SinkSocket.local();
  daemon::Channels Between;
  telemetry::Registry Metrics;
  telemetry::EventLog Events("bench", "ERROR");
  flow::FlowThread Entry(Told, Between.ConfigToFlow_,
                         Between.ControlViewToFlow_, Between.ControlToFlow_,
                         Between.FlowToControl_, Clock(), Metrics, Events);
  const membership::Member Self{Told.Name_, Told.Address_,
                                membership::MemberState::Live};
  BareRelay Relay({Net->address(1, 2), RelayPort}, SinkSocket.local());
  const Endpoint Flow(Told.Address_, Told.Ports_.Flow_);
  const bool Ready =
      Entry.start() && Relay.opened() &&
      Between.ConfigToFlow_.push(Doc.build()) &&
      Between.ControlViewToFlow_.push(std::make_shared<membership::View>(
          Told.Name_, std::vector<membership::Member>{Self})) &&
      openFlows(Flow, Metrics);
  const auto Packets = datagrams(harness::Ack);
  const telemetry::Counter &Sent =
      Metrics.counter("medlarmoor_flow_sent_total", "to=\"upstream\"");
  std::vector<double> Ours;
  std::vector<double> Bare;
  std::vector<double> Ratios;
  for (int I = 0; Ready && I < Rounds; ++I) {
    Bare.push_back(rate({Net->address(1, 2), RelayPort}, Packets,
                        [&] { return Relay.relayed(); }));
    Ours.push_back(rate(Flow, Packets, [&] { return Sent.value(); }));
    Ratios.push_back(Ours.back() / Bare.back());
  }
  if (!Ready) {
    std::fprintf(stderr, "flows: throughput: the entry was not ready: %s\n",
                 Entry.lastReason().c_str());
    return false;
  }
  Record Out{"flows", "throughput", "medlarmoor", Seed};
  Out.Figures_ = {{"packetsPerSecond", median(Ours)},
                  {"bareRelayPacketsPerSecond", median(Bare)},
                  {"ratio", median(Ratios)}};
  Out.Bound_ = {{"ratio", LeastRatio}};
  Out.Held_ = median(Ratios) >= LeastRatio;
  print(Out);
  return Out.Held_;
}

} // namespace medlarmoor::bench
