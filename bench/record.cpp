#include <bench/record.hpp>

#include <cstdio>

namespace medlarmoor::bench {

std::string Record::text() const {
  nlohmann::ordered_json Out;
  Out["experiment"] = Experiment_;
  Out["case"] = Case_;
  Out["policy"] = Policy_;
  Out["seed"] = Seed_;
  Out["figures"] = Figures_;
  if (!Bound_.empty()) {
    Out["bound"] = Bound_;
    Out["held"] = Held_;
  }
  return Out.dump();
}

void print(const Record &Each) {
  std::printf("%s\n", Each.text().c_str());
  std::fflush(stdout);
}

} // namespace medlarmoor::bench
