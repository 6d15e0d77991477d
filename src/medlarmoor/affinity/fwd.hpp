#ifndef MEDLARMOOR_AFFINITY_FWD_HPP
#define MEDLARMOOR_AFFINITY_FWD_HPP

namespace medlarmoor::affinity {

struct FlowKey;

} // namespace medlarmoor::affinity

#endif // MEDLARMOOR_AFFINITY_FWD_HPP
