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

/// Makes one call and waits for it.
template <typename Result, typename Call>
Result once(Endpoint Where, const Call &Begin) {
  boost::asio::io_context Io;
  telemetry::Registry Metrics;
  Client To(Io, Where, Ipv4(), CallTimeout, Metrics);
  std::optional<Result> Out;
  Begin(To, [&Out](Result Each) { Out = std::move(Each); });
  Io.run();
  return std::move(*Out);
}

template <typename Result, typename Call>
Result patiently(Endpoint Where, Millis Patience, const Call &Begin) {
  const Clock Time;
  const TimePoint Deadline = Time.now() + Patience;
  while (true) {
    Result Out = once<Result>(Where, Begin);
    if (!std::holds_alternative<Unavailable>(Out) || Time.now() >= Deadline)
      return Out;
    std::this_thread::sleep_for(RetryDelay);
  }
}

} // namespace

SyncClient::SyncClient(Endpoint Where, Millis Patience)
    : Where_(Where), Patience_(Patience) {}

GetResult SyncClient::get(const std::string &Kind,
                          const std::string &Name) const {
  return patiently<GetResult>(Where_, Patience_, [&](Client &To, auto Done) {
    To.get(Kind, Name, std::move(Done));
  });
}

ListResult SyncClient::list(const std::string &Kind,
                            const std::string &Prefix) const {
  return patiently<ListResult>(Where_, Patience_, [&](Client &To, auto Done) {
    To.list(Kind, Prefix, std::move(Done));
  });
}

InstancesResult SyncClient::instances() const {
  return patiently<InstancesResult>(
      Where_, Patience_, [](Client &To, auto Done) {
        To.instances(std::nullopt, std::move(Done));
      });
}

} // namespace medlarmoor::platform
