#ifndef MEDLARMOOR_FLOW_FLOW_THREAD_HPP
#define MEDLARMOOR_FLOW_FLOW_THREAD_HPP

#include <medlarmoor/config/in_force.hpp>
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

/// Carries packets and messages between the network, the other threads and a
/// Director. Owns the ports flow and peer.
class FlowThread {
public:
  FlowThread(const config::Settings &Told,
             Mailbox<config::InForcePtr> &FromConfig,
             Mailbox<membership::ViewPtr> &Views,
             Mailbox<wire::Incoming> &FromControl,
             Mailbox<wire::Outgoing> &ToControl, Clock Time,
             telemetry::Registry &Metrics, telemetry::EventLog &Events);
  ~FlowThread();
  FlowThread(const FlowThread &) = delete;
  FlowThread &operator=(const FlowThread &) = delete;

  /// Binds the ports and starts the thread; false with lastReason().
  [[nodiscard]] bool start();
  /// Asks the thread to end and joins it.
  void stop();
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

  /// Begins the planned hand-over. Callable from another thread.
  void leave();
  /// True once the others hold all that was handed over. Callable from another
  /// thread.
  [[nodiscard]] bool handedOver() const noexcept { return HandedOver_.load(); }
  /// True once this entry may be home of flows and has been handed what is its
  /// own. Callable from another thread.
  [[nodiscard]] bool ready() const noexcept { return Ready_.load(); }
  /// Which rule chose the upstream of the flow "address:port-address:port", as
  /// JSON text. Callable from another thread; waits for the flow thread.
  [[nodiscard]] std::string explain(std::string Flow);

private:
  struct Question {
    std::string Flow_;
    std::promise<std::string> Answer_;
  };

  /// One packet of the batch at hand.
  struct Job {
    PreparedPacket Seen_;
    PeerHeader Header_;
    std::span<std::byte> Inner_;
  };

  void run();
  void watch(int Descriptor);
  void wake() noexcept;
  void takeWakes() noexcept;
  void takeMail();
  void takeViews();
  void takeView(const membership::View &Members);
  void answerQuestions();
  void tickWhenDue();
  void sendMessages();
  void serve(net::UdpSocket &Socket, bool FromEntry);
  void prepare(std::size_t Index, bool FromEntry);
  void decide(std::size_t Index, bool FromEntry);
  void act(const Decision &Made, std::span<std::byte> Inner, std::size_t Index);
  void flush();

  const config::Settings &Settings_;
  Mailbox<config::InForcePtr> &FromConfig_;
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
  std::array<Job, net::BatchPackets> Jobs_{};
  net::SendBatch ToUpstreams_;
  net::SendBatch ToEntries_;
  std::array<std::array<std::byte, GueBytes + ResetBytes>, net::BatchPackets>
      Resets_{};
  TimePoint TickAt_;
  /// A view that may be older than the pause that was just noticed.
  membership::ViewPtr HeldView_;
  TimePoint HeldUntil_;
  int Epoll_ = -1;
  int Wake_ = -1;
  std::atomic<bool> Stop_{false};
  std::atomic<bool> Leave_{false};
  std::atomic<bool> HandedOver_{false};
  std::atomic<bool> Ready_{false};
  std::mutex QuestionLock_;
  std::deque<Question> Questions_;
  std::string Reason_;
  std::thread Thread_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_THREAD_HPP
