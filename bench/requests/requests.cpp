#include <bench/experiments.hpp>
#include <bench/requests/cases.hpp>

#include <array>
#include <cstdio>

int medlarmoor::bench::runRequests(const Options &Asked) {
  bool Held = true;
  bool Found = false;
  for (const RequestCase &Each : requestCases()) {
    if (!Asked.Case_.empty() && Asked.Case_ != Each.Name_)
      continue;
    Found = true;
    Held &= Each.Run_(Asked);
  }
  if (Found)
    return Held ? 0 : 1;
  std::fprintf(stderr, "requests: no case '%s'; there are:\n",
               Asked.Case_.c_str());
  for (const RequestCase &Each : requestCases())
    std::fprintf(stderr, "  %s\n", Each.Name_);
  return 2;
}
