#ifndef MEDLARMOOR_ADMISSION_FWD_HPP
#define MEDLARMOOR_ADMISSION_FWD_HPP

namespace medlarmoor::admission {

struct AdmissionLimits;
struct Demand;
class AdmissionControl;
class WaitQueue;
class WorkEstimates;

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_FWD_HPP
