#ifndef MEDLARMOOR_TEST_CONFIG_FAKE_STORE_HPP
#define MEDLARMOOR_TEST_CONFIG_FAKE_STORE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarmoor::test {

/// Keeps the platform's objects in memory, each with all of its past states.
class FakeStore {
public:
  struct State {
    std::uint64_t Version_ = 0;
    std::string Text_;
  };

  /// Returns the state that is Back changes older than the newest one; an empty
  /// state if there is none.
  [[nodiscard]] State get(const std::string &Name, std::size_t Back = 0) const {
    const auto At = States_.find(Name);
    if (At == States_.end() || Back >= At->second.size())
      return {};
    return At->second[At->second.size() - 1 - Back];
  }

  /// Stores Text if the object has version IfVersion. Returns true if it was
  /// stored.
  bool put(const std::string &Name, const std::string &Text,
           std::uint64_t IfVersion) {
    if (get(Name).Version_ != IfVersion)
      return false;
    States_[Name].push_back({IfVersion + 1, Text});
    Writes_.push_back(Name);
    return true;
  }

  /// Returns to the state before the last Count writes and begins the next
  /// epoch. The versions of these writes are given out again.
  void restore(std::size_t Count) {
    for (; Count > 0; --Count) {
      States_[Writes_.back()].pop_back();
      Writes_.pop_back();
    }
    ++Epoch_;
  }

  [[nodiscard]] std::size_t writes() const { return Writes_.size(); }
  [[nodiscard]] std::uint64_t epoch() const { return Epoch_; }
  [[nodiscard]] const std::vector<State> &
  history(const std::string &Name) const {
    return States_.at(Name);
  }

private:
  std::map<std::string, std::vector<State>> States_;
  /// The names of all written objects, oldest write first.
  std::vector<std::string> Writes_;
  std::uint64_t Epoch_ = 1;
};

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_CONFIG_FAKE_STORE_HPP
