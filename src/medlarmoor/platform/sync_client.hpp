#ifndef MEDLARMOOR_PLATFORM_SYNC_CLIENT_HPP
#define MEDLARMOOR_PLATFORM_SYNC_CLIENT_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/platform/result.hpp>

#include <string>

namespace medlarmoor::platform {

/// Makes calls to the platform's object API and waits for their results, for
/// programs that do nothing else meanwhile. A call without a usable answer is
/// repeated until Timeout has passed.
class SyncClient {
public:
  SyncClient(Endpoint Server, Millis Timeout);

  [[nodiscard]] GetResult get(const std::string &Kind,
                              const std::string &Name) const;
  [[nodiscard]] ListResult list(const std::string &Kind,
                                const std::string &Prefix) const;
  [[nodiscard]] InstancesResult instances() const;

private:
  Endpoint Server_;
  Millis Timeout_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_SYNC_CLIENT_HPP
