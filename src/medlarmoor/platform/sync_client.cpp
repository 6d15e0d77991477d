#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/platform/client.hpp>
#include <medlarmoor/platform/sync_client.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>
#include <thread>

namespace medlarmoor::platform {

namespace {

constexpr Millis CallTimeout{2000};
constexpr Millis RetryDelay{200};

/// Makes one call and waits for its result.
template <typename Result, typename Call>
Result callOnce(Endpoint Server, const Call &Start) {
  boost::asio::io_context Io;
  telemetry::Registry Metrics;
  Client Api(Io, Server, Ipv4(), CallTimeout, Metrics);
  std::optional<Result> Received;
  Start(Api,
        [&Received](Result Completed) { Received = std::move(Completed); });
  Io.run();
  return std::move(*Received);
}

/// Repeats a call until it has a usable answer or Timeout has passed.
template <typename Result, typename Call>
Result callWithRetries(Endpoint Server, Millis Timeout, const Call &Start) {
  const Clock Time;
  const TimePoint Deadline = Time.now() + Timeout;
  while (true) {
    Result Received = callOnce<Result>(Server, Start);
    if (!std::holds_alternative<Unavailable>(Received) ||
        Time.now() >= Deadline)
      return Received;
    std::this_thread::sleep_for(RetryDelay);
  }
}

} // namespace

SyncClient::SyncClient(Endpoint Server, Millis Timeout)
    : Server_(Server), Timeout_(Timeout) {}

GetResult SyncClient::get(const std::string &Kind,
                          const std::string &Name) const {
  return callWithRetries<GetResult>(
      Server_, Timeout_,
      [&](Client &Api, auto Done) { Api.get(Kind, Name, std::move(Done)); });
}

ListResult SyncClient::list(const std::string &Kind,
                            const std::string &Prefix) const {
  return callWithRetries<ListResult>(
      Server_, Timeout_,
      [&](Client &Api, auto Done) { Api.list(Kind, Prefix, std::move(Done)); });
}

InstancesResult SyncClient::instances() const {
  return callWithRetries<InstancesResult>(
      Server_, Timeout_, [](Client &Api, auto Done) {
        Api.instances(std::nullopt, std::move(Done));
      });
}

} // namespace medlarmoor::platform
