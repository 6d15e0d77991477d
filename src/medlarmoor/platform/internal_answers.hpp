#ifndef MEDLARMOOR_PLATFORM_INTERNAL_ANSWERS_HPP
#define MEDLARMOOR_PLATFORM_INTERNAL_ANSWERS_HPP

#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/platform/result.hpp>

#include <optional>
#include <string>

namespace medlarmoor::platform::internal {

/// Returns the epoch that the platform states with each answer; no value if it
/// does not.
[[nodiscard]] std::optional<StoreEpoch>
readEpoch(const net::HttpResponse &Answer);

/// Converts the response to a call, or the Reason for which there is none, to
/// the typed result of the call. A response that does not have the documented
/// form counts as no answer.
[[nodiscard]] GetResult
toGetResult(const std::optional<net::HttpResponse> &Answer,
            const std::string &Reason);
[[nodiscard]] PutResult
toPutResult(const std::optional<net::HttpResponse> &Answer,
            const std::string &Reason);
[[nodiscard]] RemoveResult
toRemoveResult(const std::optional<net::HttpResponse> &Answer,
               const std::string &Reason);
[[nodiscard]] ListResult
toListResult(const std::optional<net::HttpResponse> &Answer,
             const std::string &Reason);
[[nodiscard]] WatchResult
toWatchResult(const std::optional<net::HttpResponse> &Answer,
              const std::string &Reason);
[[nodiscard]] InstancesResult
toInstancesResult(const std::optional<net::HttpResponse> &Answer,
                  const std::string &Reason);

} // namespace medlarmoor::platform::internal

#endif // MEDLARMOOR_PLATFORM_INTERNAL_ANSWERS_HPP
