#include <bench/experiments.hpp>

#include <cstdio>

int medlarmoor::bench::runChaos(const Options &) {
  std::fprintf(stderr, "chaos: not built yet\n");
  return 2;
}
