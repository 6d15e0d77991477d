#ifndef MEDLARMOOR_PLATFORM_FWD_HPP
#define MEDLARMOOR_PLATFORM_FWD_HPP

namespace medlarmoor::platform {} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_FWD_HPP
