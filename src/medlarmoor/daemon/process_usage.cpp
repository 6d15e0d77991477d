#include <medlarmoor/core/time.hpp>
#include <medlarmoor/daemon/process_usage.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>

namespace medlarmoor::daemon {

namespace {

/// Resident bytes of this process; 0 when the system does not tell.
long residentBytes() {
  std::FILE *File = std::fopen("/proc/self/statm", "re");
  if (!File)
    return 0;
  long Total = 0;
  long Resident = 0;
  if (std::fscanf(File, "%ld %ld", &Total, &Resident) !=
      2) // NOLINT(cert-err34-c)
    Resident = 0;
  std::fclose(File);
  return Resident * sysconf(_SC_PAGESIZE);
}

Micros toMicros(const timeval &Time) {
  return Seconds(Time.tv_sec) + Micros(Time.tv_usec);
}

} // namespace

void noteProcessUsage(telemetry::Registry &Metrics) {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const Micros Processor = toMicros(Usage.ru_utime) + toMicros(Usage.ru_stime);
  Metrics.gauge("medlarmoor_process_resident_bytes").set(residentBytes());
  Metrics.gauge("medlarmoor_process_cpu_microseconds").set(Processor.count());
}

} // namespace medlarmoor::daemon
