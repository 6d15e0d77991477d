#ifndef MEDLARMOOR_HARNESS_SHOWN_ADDRESSES_HPP
#define MEDLARMOOR_HARNESS_SHOWN_ADDRESSES_HPP

#include <medlarmoor/core/ipv4.hpp>

#include <map>

namespace medlarmoor::harness {

/// The address at which others know an instance, by the address on which it
/// stands. What passes the fault proxy appears to come from the former.
class ShownAddresses {
public:
  void add(Ipv4 Real, Ipv4 Shown) { Shown_[Real] = Shown; }

  /// The address that stands for Real; Real itself when there is no other.
  [[nodiscard]] Ipv4 of(Ipv4 Real) const {
    const auto Found = Shown_.find(Real);
    return Found == Shown_.end() ? Real : Found->second;
  }

private:
  std::map<Ipv4, Ipv4> Shown_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_SHOWN_ADDRESSES_HPP
