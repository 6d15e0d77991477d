#ifndef MEDLARMOOR_PLATFORM_FWD_HPP
#define MEDLARMOOR_PLATFORM_FWD_HPP

namespace medlarmoor::platform {

class Client;
class ConfigThread;
struct Absent;
struct Conflict;
struct Instance;
struct InstanceList;
struct Listing;
struct Object;
struct Refused;
struct Stored;
struct TooOld;
struct Unavailable;

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_FWD_HPP
