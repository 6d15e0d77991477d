#include <bench/experiments.hpp>

#include <cstdio>

int medlarmoor::bench::runFlows(const Options &) {
  std::fprintf(stderr, "flows: not built yet\n");
  return 2;
}
