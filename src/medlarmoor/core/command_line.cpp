#include <medlarmoor/core/command_line.hpp>

#include <cstdio>
#include <string>

namespace medlarmoor {

namespace {

/// Exit code for wrong arguments or settings, as shells and getopt use it.
constexpr int ExitFindings = 2;

} // namespace

void rejectWords(int Argc, const char *const *Argv, Findings &Found) {
  if (Argc > 1)
    Found.add({"command line", 0, 0},
              std::string("unexpected word '") + Argv[1] + "'");
}

int refuse(const Findings &Found) {
  std::fputs(Found.text().c_str(), stderr);
  return ExitFindings;
}

} // namespace medlarmoor
