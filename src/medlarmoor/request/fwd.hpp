#ifndef MEDLARMOOR_REQUEST_FWD_HPP
#define MEDLARMOOR_REQUEST_FWD_HPP

namespace medlarmoor::request {} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_FWD_HPP
