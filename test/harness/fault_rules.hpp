#ifndef MEDLARMOOR_HARNESS_FAULT_RULES_HPP
#define MEDLARMOOR_HARNESS_FAULT_RULES_HPP

#include <harness/fault_rule.hpp>
#include <medlarmoor/core/random.hpp>

#include <map>
#include <string>

namespace medlarmoor::harness {

/// What is to happen to bytes on their way.
struct Passage {
  bool Cut_ = false;
  Millis Delay_{0};
  double Loss_ = 0;
};

/// The rules in force, by name.
class FaultRules {
public:
  void set(const std::string &Name, const FaultRule &Rule) {
    Rules_[Name] = Rule;
  }
  void remove(const std::string &Name) { Rules_.erase(Name); }
  void clear() { Rules_.clear(); }

  /// What all rules together do to bytes from one address to another, on a
  /// port of the class.
  [[nodiscard]] Passage passage(Ipv4 From, Ipv4 To,
                                const std::string &PortClass) const;

private:
  std::map<std::string, FaultRule> Rules_;
};

/// Whether Rule speaks of bytes from one address to the other in this order.
[[nodiscard]] bool matches(const FaultRule &Rule, Ipv4 From, Ipv4 To,
                           const std::string &PortClass) noexcept;

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FAULT_RULES_HPP
