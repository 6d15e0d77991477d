#ifndef MEDLARMOOR_FLOW_FWD_HPP
#define MEDLARMOOR_FLOW_FWD_HPP

namespace medlarmoor::flow {} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FWD_HPP
