#ifndef MEDLARMOOR_PLATFORM_CLIENT_HPP
#define MEDLARMOOR_PLATFORM_CLIENT_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/platform/result.hpp>
#include <medlarmoor/telemetry/fwd.hpp>

#include <functional>
#include <optional>
#include <string>

namespace medlarmoor::platform {

/// Makes asynchronous calls to the platform's object API. Done is called once,
/// on the io_context's thread and never before the function returns. Calls are
/// counted in the metric medlarmoor_platform_calls_total by kind of call, and
/// their bytes in both directions in medlarmoor_platform_bytes_total.
class Client {
public:
  /// Server is the endpoint of the API, Source the local address of connections
  /// and Timeout the time limit of one call; a watch may take its wait time in
  /// addition.
  Client(boost::asio::io_context &Io, Endpoint Server, Ipv4 Source,
         Millis Timeout, telemetry::Registry &Metrics);

  /// Reads one object.
  void get(const std::string &Kind, const std::string &Name,
           std::function<void(GetResult)> Done);
  /// Writes one object. With IfVersion, writes only if the object has that
  /// version now; 0 writes only if it does not exist.
  void put(const std::string &Kind, const std::string &Name, std::string Value,
           std::optional<std::uint64_t> IfVersion,
           std::function<void(PutResult)> Done);
  /// Deletes one object if it has the version IfVersion.
  void remove(const std::string &Kind, const std::string &Name,
              std::uint64_t IfVersion, std::function<void(RemoveResult)> Done);
  /// Reads all objects of Kind whose names begin with Prefix.
  void list(const std::string &Kind, const std::string &Prefix,
            std::function<void(ListResult)> Done);
  /// Waits up to Wait for changes of such objects after revision After.
  void watch(const std::string &Kind, const std::string &Prefix,
             std::uint64_t After, Millis Wait,
             std::function<void(WatchResult)> Done);
  /// Reads the list of instances in Domain, or of all instances.
  void instances(const std::optional<DomainName> &Domain,
                 std::function<void(InstancesResult)> Done);

  /// Returns the highest epoch that the platform has stated; no value if it has
  /// stated none.
  [[nodiscard]] std::optional<StoreEpoch> epoch() const noexcept {
    return Epoch_;
  }

private:
  void send(std::string Method, std::string Target, std::string Body,
            Millis Timeout, net::HttpDone Done);

  net::HttpClient Http_;
  Endpoint Server_;
  Millis Timeout_;
  std::optional<StoreEpoch> Epoch_;
  telemetry::Counter &Reads_;
  telemetry::Counter &Writes_;
  telemetry::Counter &Lists_;
  telemetry::Counter &Watches_;
  telemetry::Counter &Bytes_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_CLIENT_HPP
