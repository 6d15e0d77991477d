#ifndef MEDLARMOOR_REQUEST_DISPATCHER_ROLE_HPP
#define MEDLARMOOR_REQUEST_DISPATCHER_ROLE_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/membership/view.hpp>

#include <map>
#include <optional>

namespace medlarmoor::request {

/// Returns the hash that selects the dispatcher of Service by rendezvous
/// hashing.
[[nodiscard]] inline std::uint64_t homeKey(const ServiceName &Service) {
  return hashText(Service.value(), 0x7265717565737473ULL);
}

/// Determines for which services this entry is the dispatcher, and the minting
/// time from which it may decide about keys without a record.
class DispatcherRole {
public:
  DispatcherRole(EntryName Self, Millis Lease, Clock Time);

  /// Applies a new view.
  void onView(membership::ViewPtr View);
  /// Handles a handoff from the previous dispatcher of Service, which decided
  /// about keys minted from From on. Its complete ledger must be stored
  /// already.
  void onHandoff(const ServiceName &Service, WallTime From);
  /// Gives up the role for all services, since this entry hands off and stops.
  void leave() noexcept { Leaving_ = true; }
  /// Compares the clock with the previous call. After a gap longer than the
  /// lease this entry is not the dispatcher of any service until a new view
  /// arrives or two leases have passed. Must be called before each decision.
  void checkClock();

  /// Returns true if this entry is the dispatcher of Service.
  [[nodiscard]] bool isDispatcher(const ServiceName &Service) const;
  /// Returns true while dispatching is suspended after a gap of the clock.
  [[nodiscard]] bool suspended() const noexcept {
    return SuspendedAt_.has_value();
  }
  /// Returns the minting time before which keys of Service cannot be decided
  /// without a record. The term begins with the first call during which this
  /// entry is the dispatcher.
  [[nodiscard]] WallTime decidesFrom(const ServiceName &Service);
  /// Returns true if a previous dispatcher that is still live may hand Service
  /// off.
  [[nodiscard]] bool awaitsHandoff(const ServiceName &Service);
  /// Returns the dispatcher of Service in this entry's view, or null. A leaving
  /// entry returns its successor.
  [[nodiscard]] const membership::Member *
  dispatcher(const ServiceName &Service) const;
  [[nodiscard]] const membership::View &view() const noexcept { return *View_; }

private:
  /// A period in which this entry is the dispatcher of one service.
  struct Term {
    WallTime DecidesFrom_;
    TimePoint StartedAt_;
    bool HandoffReceived_ = false;
  };

  Term *term(const ServiceName &Service);

  EntryName Self_;
  Millis Lease_;
  Clock Time_;
  membership::ViewPtr View_;
  bool Leaving_ = false;
  TimePoint LastCheck_;
  std::optional<TimePoint> SuspendedAt_;
  std::map<ServiceName, Term> Terms_;
  /// Received handoffs: the start of the decided minting times, and the time of
  /// arrival.
  std::map<ServiceName, std::pair<WallTime, TimePoint>> ReceivedHandoffs_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_DISPATCHER_ROLE_HPP
