#include <harness/fault_rules.hpp>

#include <algorithm>

namespace medlarmoor::harness {

bool matches(const FaultRule &Rule, Ipv4 From, Ipv4 To,
             const std::string &PortClass) noexcept {
  const bool Source = Rule.Source_ == Ipv4() || Rule.Source_ == From;
  const bool Destination =
      Rule.Destination_ == Ipv4() || Rule.Destination_ == To;
  const bool Port = Rule.PortClass_.empty() || Rule.PortClass_ == PortClass;
  return Source && Destination && Port;
}

Passage FaultRules::passage(Ipv4 From, Ipv4 To,
                            const std::string &PortClass) const {
  Passage Out;
  for (const auto &[Name, Rule] : Rules_) {
    const bool Along = matches(Rule, From, To, PortClass);
    const bool Back = matches(Rule, To, From, PortClass);
    if (!Along && !Back)
      continue;
    Out.Cut_ |= Rule.Action_ == FaultAction::Cut ||
                (Rule.Action_ == FaultAction::OneWay && Along);
    if (Rule.Action_ == FaultAction::Delay)
      Out.Delay_ += Rule.Delay_;
    if (Rule.Action_ == FaultAction::Loss)
      Out.Loss_ = std::max(Out.Loss_, Rule.Loss_);
  }
  return Out;
}

} // namespace medlarmoor::harness
