#ifndef MEDLARMOOR_PLATFORM_INTERNAL_ANSWERS_HPP
#define MEDLARMOOR_PLATFORM_INTERNAL_ANSWERS_HPP

#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/platform/result.hpp>

#include <optional>
#include <string>

namespace medlarmoor::platform::internal {

/// Turns what came back for a call (Answer, or nothing and Reason) into its
/// typed result. An answer that does not have the documented shape counts as
/// no answer.
[[nodiscard]] GetResult toGet(const std::optional<net::HttpResponse> &Answer,
                              const std::string &Reason);
[[nodiscard]] PutResult toPut(const std::optional<net::HttpResponse> &Answer,
                              const std::string &Reason);
[[nodiscard]] RemoveResult
toRemove(const std::optional<net::HttpResponse> &Answer,
         const std::string &Reason);
[[nodiscard]] ListResult toList(const std::optional<net::HttpResponse> &Answer,
                                const std::string &Reason);
[[nodiscard]] WatchResult
toWatch(const std::optional<net::HttpResponse> &Answer,
        const std::string &Reason);
[[nodiscard]] InstancesResult
toInstances(const std::optional<net::HttpResponse> &Answer,
            const std::string &Reason);

} // namespace medlarmoor::platform::internal

#endif // MEDLARMOOR_PLATFORM_INTERNAL_ANSWERS_HPP
