#include <bench/experiments.hpp>

#include <cstdio>

int medlarmoor::bench::runReport(const Options &) {
  std::fprintf(stderr, "report: not built yet\n");
  return 2;
}
