#ifndef MEDLARMOOR_TEST_CONFIG_FAKE_STORE_HPP
#define MEDLARMOOR_TEST_CONFIG_FAKE_STORE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarmoor::test {

/// The platform's objects in memory, with all states that each has had.
class FakeStore {
public:
  struct State {
    std::uint64_t Version_ = 0;
    std::string Text_;
  };

  /// The newest state, or one that is up to Back changes older.
  [[nodiscard]] State get(const std::string &Name, std::size_t Back = 0) const {
    const auto At = States_.find(Name);
    if (At == States_.end() || Back >= At->second.size())
      return {};
    return At->second[At->second.size() - 1 - Back];
  }

  /// True when the object had IfVersion and has Text now.
  bool put(const std::string &Name, const std::string &Text,
           std::uint64_t IfVersion) {
    if (get(Name).Version_ != IfVersion)
      return false;
    States_[Name].push_back({IfVersion + 1, Text});
    return true;
  }

  [[nodiscard]] const std::vector<State> &
  history(const std::string &Name) const {
    return States_.at(Name);
  }

private:
  std::map<std::string, std::vector<State>> States_;
};

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_CONFIG_FAKE_STORE_HPP
