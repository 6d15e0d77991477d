#include <bench/experiments.hpp>

#include <cstdio>

int medlarmoor::bench::runRequests(const Options &) {
  std::fprintf(stderr, "requests: not built yet\n");
  return 2;
}
