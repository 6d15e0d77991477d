#ifndef MEDLARMOOR_CTL_FWD_HPP
#define MEDLARMOOR_CTL_FWD_HPP

namespace medlarmoor::ctl {

enum class ExitCode : int;
struct Options;
struct Outcome;

} // namespace medlarmoor::ctl

#endif // MEDLARMOOR_CTL_FWD_HPP
