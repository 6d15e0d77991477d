#include <bench/experiments.hpp>

#include <cstdio>

int medlarmoor::bench::runDemo(const Options &) {
  std::fprintf(stderr, "demo: not built yet\n");
  return 2;
}
