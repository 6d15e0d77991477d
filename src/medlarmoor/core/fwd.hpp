#ifndef MEDLARMOOR_CORE_FWD_HPP
#define MEDLARMOOR_CORE_FWD_HPP

namespace medlarmoor {

template <typename Rep, typename Tag> class Strong;
template <typename T> class Ring;
template <typename T> class Mailbox;
class Clock;
class ManualClock;
class Endpoint;
class Ipv4;
class Findings;
class StopSignal;
struct Finding;
struct Place;

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_FWD_HPP
