#ifndef MEDLARMOOR_TELEMETRY_FWD_HPP
#define MEDLARMOOR_TELEMETRY_FWD_HPP

namespace medlarmoor::telemetry {

class Counter;
class EventLog;
class Gauge;
class Histogram;
class Registry;
class SpanLog;
class TraceContext;
struct Field;
struct Span;

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_FWD_HPP
