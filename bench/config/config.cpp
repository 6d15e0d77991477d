#include <bench/experiments.hpp>

#include <cstdio>

int medlarmoor::bench::runConfig(const Options &) {
  std::fprintf(stderr, "config: not built yet\n");
  return 2;
}
