#ifndef MEDLARMOOR_FLOW_FLOW_THREAD_HPP
#define MEDLARMOOR_FLOW_FLOW_THREAD_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/mailbox.hpp>
#include <medlarmoor/flow/director.hpp>
#include <medlarmoor/flow/flow_metrics.hpp>
#include <medlarmoor/flow/reset.hpp>
#include <medlarmoor/net/packet_batch.hpp>
#include <medlarmoor/net/udp_socket.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/wire/incoming.hpp>
#include <medlarmoor/wire/outgoing.hpp>

#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <string>
#include <thread>

namespace medlarmoor::flow {

/// The thread that runs a Director and moves packets and messages between it,
/// the network and the other threads. Owns the sockets of the ports flow and
/// peer.
class FlowThread {
public:
  FlowThread(const config::Settings &Settings,
             Mailbox<config::ActiveConfigPtr> &FromConfig,
             Mailbox<membership::ViewPtr> &Views,
             Mailbox<wire::Incoming> &FromControl,
             Mailbox<wire::Outgoing> &ToControl, Clock Time,
             telemetry::Registry &Metrics, telemetry::EventLog &Events);
  ~FlowThread();
  FlowThread(const FlowThread &) = delete;
  FlowThread &operator=(const FlowThread &) = delete;

  /// Binds the ports and starts the thread. Returns false if a port cannot be
  /// bound; lastReason() then states why.
  [[nodiscard]] bool start();
  /// Stops the thread and joins it.
  void stop();
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return LastReason_;
  }

  /// Begins the planned handoff. Callable from another thread.
  void leave();
  /// Returns true once the other entries have acknowledged everything that was
  /// handed off. Callable from another thread.
  [[nodiscard]] bool handedOver() const noexcept { return HandedOver_.load(); }
  /// Returns true while this entry may be the home of flows and the previous
  /// homes have handed off all of its flows to it. Callable from another
  /// thread.
  [[nodiscard]] bool ready() const noexcept { return Ready_.load(); }
  /// Returns which rule chose the upstream of the flow
  /// "address:port-address:port", as JSON text. Callable from another thread;
  /// waits up to 2 s for the flow thread and returns an error after that.
  [[nodiscard]] std::string explain(std::string Flow);

private:
  /// A call of explain() that waits for the flow thread.
  struct ExplainRequest {
    std::string Flow_;
    std::promise<std::string> Answer_;
  };

  /// One packet of the current batch.
  struct PacketJob {
    PreparedPacket Prepared_;
    PeerHeader Header_;
    std::span<std::byte> Inner_;
  };

  void run();
  void watch(int Descriptor);
  void wake() noexcept;
  void clearWake() noexcept;
  void processMailboxes();
  void processViews();
  void adoptView(const membership::View &Members);
  void answerExplainRequests();
  void tickWhenDue();
  void sendMessages();
  void receivePackets(net::UdpSocket &Socket, bool FromEntry);
  void prepare(std::size_t Index, bool FromEntry);
  void decide(std::size_t Index, bool FromEntry);
  void execute(const Decision &Action, std::span<std::byte> Inner,
               std::size_t Index);
  void flush();

  const config::Settings &Settings_;
  Mailbox<config::ActiveConfigPtr> &FromConfig_;
  Mailbox<membership::ViewPtr> &Views_;
  Mailbox<wire::Incoming> &FromControl_;
  Mailbox<wire::Outgoing> &ToControl_;
  Clock Clock_;
  telemetry::EventLog &Events_;
  FlowMetrics Metrics_;
  Director Director_;
  net::UdpSocket FlowSocket_;
  net::UdpSocket PeerSocket_;
  net::ReceiveBatch Received_;
  std::array<PacketJob, net::BatchPackets> Jobs_{};
  net::SendBatch ToUpstreams_;
  net::SendBatch ToEntries_;
  std::array<std::array<std::byte, GueBytes + ResetBytes>, net::BatchPackets>
      Resets_{};
  TimePoint NextTickAt_;
  /// A view that may be older than the last pause; see processViews().
  membership::ViewPtr HeldView_;
  TimePoint HeldUntil_;
  int Epoll_ = -1;
  int Wake_ = -1;
  std::atomic<bool> StopRequested_{false};
  std::atomic<bool> LeaveRequested_{false};
  std::atomic<bool> HandedOver_{false};
  std::atomic<bool> Ready_{false};
  std::mutex ExplainLock_;
  std::deque<ExplainRequest> ExplainRequests_;
  std::string LastReason_;
  std::thread Thread_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_THREAD_HPP
