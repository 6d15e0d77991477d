#include <medlarmoor/ctl/run.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(platform, "", "object API of the platform, address:port");
DEFINE_string(output, "text", "text or json");
DEFINE_int64(seen, -1,
             "version that was read; the write is refused if it has changed");
DEFINE_int64(over, -1, "promote: version of the target that was read");
DEFINE_string(from, "", "promote: environment to copy from");
DEFINE_string(to, "", "promote: environment to copy to");
DEFINE_uint32(proving_seconds, 600,
              "promote: seconds that the version must have been in force");
DEFINE_string(entry, "", "explain: admin port of an entry, address:port");
DEFINE_string(flow, "", "explain: SOURCE:PORT-DESTINATION:PORT");
DEFINE_string(key, "", "explain: idempotency key of a request");
DEFINE_uint32(patience_ms, 15000, "how long to retry while there is no answer");

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(medlarmoor::ctl::Usage);
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const medlarmoor::ctl::RawOptions Options{FLAGS_platform,
                                            FLAGS_output,
                                            FLAGS_seen,
                                            FLAGS_over,
                                            FLAGS_from,
                                            FLAGS_to,
                                            FLAGS_proving_seconds,
                                            FLAGS_entry,
                                            FLAGS_flow,
                                            FLAGS_key,
                                            FLAGS_patience_ms,
                                            {Argv + 1, Argv + Argc}};
  return medlarmoor::ctl::run(Options, std::cout, std::cerr);
}
