#ifndef MEDLARMOOR_PLATFORM_SYNC_CLIENT_HPP
#define MEDLARMOOR_PLATFORM_SYNC_CLIENT_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/platform/result.hpp>

#include <string>

namespace medlarmoor::platform {

/// Calls to the platform's object API that wait for their result, for programs
/// that do nothing else meanwhile. Reads without a usable answer are tried
/// again until Patience is used up.
class SyncClient {
public:
  SyncClient(Endpoint Where, Millis Patience);

  [[nodiscard]] GetResult get(const std::string &Kind,
                              const std::string &Name) const;
  [[nodiscard]] ListResult list(const std::string &Kind,
                                const std::string &Prefix) const;
  [[nodiscard]] InstancesResult instances() const;

private:
  Endpoint Where_;
  Millis Patience_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_SYNC_CLIENT_HPP
