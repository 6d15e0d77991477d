#include <bench/record.hpp>
#include <bench/requests/cases.hpp>

namespace medlarmoor::bench {

std::vector<RequestCase> processCases() { return {}; }

} // namespace medlarmoor::bench
