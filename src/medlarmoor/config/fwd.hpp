#ifndef MEDLARMOOR_CONFIG_FWD_HPP
#define MEDLARMOOR_CONFIG_FWD_HPP

#include <memory>

namespace medlarmoor::config {

struct Environment;
struct FailureDomain;
struct InForce;
struct Neighbour;
struct Ports;
struct Service;
struct EdgeSettings;
struct ServicePolicy;
struct Settings;
struct SharedKey;
struct Upstream;
using InForcePtr = std::shared_ptr<const InForce>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FWD_HPP
