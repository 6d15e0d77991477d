#ifndef MEDLARMOOR_TEST_REQUEST_FLEET_HPP
#define MEDLARMOOR_TEST_REQUEST_FLEET_HPP

#include <harness/subnet.hpp>
#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/mailbox.hpp>
#include <medlarmoor/membership/view.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/request/request_thread.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace medlarmoor::test {

/// An upstream that counts the runs of each key. Its handler may answer instead
/// of the default response 200 with body "ran {key}".
class FakeUpstream {
public:
  using Handler = std::function<void(const net::HttpRequest &, net::HttpReply)>;

  /// Each request takes ServiceTime.
  FakeUpstream(Endpoint Address, Handler Respond, Millis ServiceTime);
  ~FakeUpstream();
  FakeUpstream(const FakeUpstream &) = delete;
  FakeUpstream &operator=(const FakeUpstream &) = delete;

  [[nodiscard]] int runs(const std::string &Key);
  [[nodiscard]] int maxConcurrent() const noexcept { return MaxConcurrent_; }
  [[nodiscard]] Endpoint endpoint() const noexcept { return Endpoint_; }

private:
  struct Impl;
  void onRun(const net::HttpRequest &Request, const net::HttpReply &Reply);
  void answer(const net::HttpRequest &Request, const net::HttpReply &Reply);

  Endpoint Endpoint_;
  Handler Respond_;
  Millis ServiceTime_;
  std::mutex Lock_;
  std::map<std::string, int> Runs_;
  std::atomic<int> Concurrent_{0};
  std::atomic<int> MaxConcurrent_{0};
  std::unique_ptr<Impl> Impl_;
  std::thread Thread_;
};

/// Several request threads of one failure domain in this process. The test sets
/// their views.
class Fleet {
public:
  explicit Fleet(std::size_t Entries);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Adds an upstream of Slots slots; call it before start().
  FakeUpstream &addUpstream(FakeUpstream::Handler Respond = nullptr,
                            std::uint32_t Slots = 2,
                            Millis ServiceTime = Millis(0));
  /// Adds an upstream to the document that the test itself runs at the returned
  /// endpoint.
  Endpoint reserveUpstream(std::uint32_t Slots = 2);
  /// Starts the entries with the service "seal" and a view of all of them.
  void start(config::ServicePolicy Policy = {});
  /// Sets the view of entry Index to the entries Members; entry Leaving is
  /// leaving.
  void setView(std::size_t Index, const std::vector<std::size_t> &Members,
               std::optional<std::size_t> Leaving = std::nullopt);
  /// Stops entry Index without a handoff; its ports close.
  void crash(std::size_t Index);
  /// Returns the dispatcher of "seal" while all entries are live.
  [[nodiscard]] std::size_t dispatcher() const;
  /// Returns the successor of the dispatcher.
  [[nodiscard]] std::size_t successor() const;
  [[nodiscard]] request::RequestThread &entry(std::size_t Index);
  [[nodiscard]] telemetry::Registry &metrics(std::size_t Index);

  /// Returns a key minted at the current time.
  [[nodiscard]] std::string mintKey();
  /// Submits a request to entry Index and waits for the response.
  [[nodiscard]] net::HttpResponse submit(std::size_t Index, std::string Key,
                                         std::string Class = "once",
                                         int DeadlineMs = 3000,
                                         std::string Body = "{}");
  /// Sends a request to the request listener of entry Index.
  [[nodiscard]] net::HttpResponse send(std::size_t Index,
                                       net::HttpRequest Request);

private:
  struct Entry;
  [[nodiscard]] membership::View
  viewOf(std::size_t Self, const std::vector<std::size_t> &Members,
         std::optional<std::size_t> Leaving = std::nullopt) const;

  harness::Subnet Net_;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::vector<std::unique_ptr<FakeUpstream>> Upstreams_;
  config::Service Service_;
  std::uint64_t NextKey_ = 1;
};

/// Returns the value of a header, or "-".
[[nodiscard]] std::string header(const net::HttpResponse &Response,
                                 std::string_view Name);
/// Polls Condition until it is true or five seconds have passed. Returns its
/// last result.
[[nodiscard]] bool eventually(const std::function<bool()> &Condition);

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_REQUEST_FLEET_HPP
