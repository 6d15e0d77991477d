#ifndef MEDLARMOOR_UPSTREAM_FWD_HPP
#define MEDLARMOOR_UPSTREAM_FWD_HPP

namespace medlarmoor::upstream {} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_FWD_HPP
