#ifndef MEDLARMOOR_CORE_IDS_HPP
#define MEDLARMOOR_CORE_IDS_HPP

#include <medlarmoor/core/strong.hpp>

#include <cstdint>
#include <string>

namespace medlarmoor {

/// Name of one entry instance, unique over the environment.
using EntryName = Strong<std::string, struct EntryNameTag>;
/// Name of a service, unique in its environment document.
using ServiceName = Strong<std::string, struct ServiceNameTag>;
/// Name of an upstream, unique in its environment document.
using UpstreamName = Strong<std::string, struct UpstreamNameTag>;
/// Name of a failure domain.
using DomainName = Strong<std::string, struct DomainNameTag>;
/// Name of a region; a region holds failure domains.
using RegionName = Strong<std::string, struct RegionNameTag>;
/// Version of an accepted environment document; grows with each change, by one
/// unless the platform was restored from an older copy in between.
using ConfigVersion = Strong<std::uint64_t, struct ConfigVersionTag>;
/// Hash over the sorted members of a membership view.
using ViewId = Strong<std::uint64_t, struct ViewIdTag>;
/// Key by which a caller names one request over all of its retries.
using IdempotencyKey = Strong<std::string, struct IdempotencyKeyTag>;
/// Random number that an entry draws at start, so that two runs of one name
/// are told apart.
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>;

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_IDS_HPP
