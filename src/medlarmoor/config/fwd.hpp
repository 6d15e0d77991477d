#ifndef MEDLARMOOR_CONFIG_FWD_HPP
#define MEDLARMOOR_CONFIG_FWD_HPP

#include <memory>

namespace medlarmoor::config {

struct ActiveConfig;
struct Environment;
struct FailureDomain;
struct Neighbour;
struct Ports;
struct Service;
struct EdgeSettings;
struct ServicePolicy;
struct Settings;
struct SharedKey;
struct Upstream;
using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FWD_HPP
