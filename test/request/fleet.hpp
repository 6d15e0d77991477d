#ifndef MEDLARMOOR_TEST_REQUEST_FLEET_HPP
#define MEDLARMOOR_TEST_REQUEST_FLEET_HPP

#include <harness/subnet.hpp>
#include <medlarmoor/config/in_force.hpp>
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

/// One upstream that counts what it runs. Its Behave_ may answer in place of
/// the usual 200 with body "ran {key}".
class FakeUpstream {
public:
  using Behave = std::function<void(const net::HttpRequest &, net::HttpReply)>;

  /// Each request runs for Service.
  FakeUpstream(Endpoint Where, Behave Answer, Millis Service);
  ~FakeUpstream();
  FakeUpstream(const FakeUpstream &) = delete;
  FakeUpstream &operator=(const FakeUpstream &) = delete;

  [[nodiscard]] int runs(const std::string &Key);
  [[nodiscard]] int mostAtOnce() const noexcept { return MostAtOnce_; }
  [[nodiscard]] Endpoint where() const noexcept { return Where_; }

private:
  struct Impl;
  void onRun(const net::HttpRequest &Request, const net::HttpReply &Reply);
  void answer(const net::HttpRequest &Request, const net::HttpReply &Reply);

  Endpoint Where_;
  Behave Answer_;
  Millis Service_;
  std::mutex Lock_;
  std::map<std::string, int> Runs_;
  std::atomic<int> AtOnce_{0};
  std::atomic<int> MostAtOnce_{0};
  std::unique_ptr<Impl> Impl_;
  std::thread Thread_;
};

/// Several request threads of one failure domain in this process, whose views
/// the test chooses.
class Fleet {
public:
  explicit Fleet(std::size_t Entries);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Adds an upstream of Slots slots; call it before start().
  FakeUpstream &addUpstream(FakeUpstream::Behave Answer = nullptr,
                            std::uint32_t Slots = 2,
                            Millis Service = Millis(0));
  /// Puts an upstream into the document that the test itself runs there.
  Endpoint reserveUpstream(std::uint32_t Slots = 2);
  /// Starts the entries with the service "seal" and a view of all of them.
  void start(config::ServicePolicy Policy = {});
  /// Gives entry At a view of the entries Members; Leaving hands over.
  void see(std::size_t At, const std::vector<std::size_t> &Members,
           std::optional<std::size_t> Leaving = std::nullopt);
  /// Kills entry At: its ports close.
  void crash(std::size_t At);
  /// The entry that dispatches "seal" while all live.
  [[nodiscard]] std::size_t dispatcher() const;
  /// The entry that follows when the dispatcher is gone.
  [[nodiscard]] std::size_t successor() const;
  [[nodiscard]] request::RequestThread &entry(std::size_t At);
  [[nodiscard]] telemetry::Registry &metrics(std::size_t At);

  /// A key that is minted now.
  [[nodiscard]] std::string key();
  /// Submits to entry At and waits for the response.
  [[nodiscard]] net::HttpResponse submit(std::size_t At, std::string Key,
                                         std::string Class = "once",
                                         int DeadlineMs = 3000,
                                         std::string Body = "{}");
  /// Sends any request to the request door of entry At.
  [[nodiscard]] net::HttpResponse send(std::size_t At,
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

/// The value of a header, or "-".
[[nodiscard]] std::string header(const net::HttpResponse &Of,
                                 std::string_view Name);
/// Polls Holds until it is true or five seconds have passed.
[[nodiscard]] bool eventually(const std::function<bool()> &Holds);

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_REQUEST_FLEET_HPP
