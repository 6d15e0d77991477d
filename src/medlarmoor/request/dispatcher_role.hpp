#ifndef MEDLARMOOR_REQUEST_DISPATCHER_ROLE_HPP
#define MEDLARMOOR_REQUEST_DISPATCHER_ROLE_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/membership/view.hpp>

#include <map>
#include <optional>

namespace medlarmoor::request {

/// The number by which rendezvous hashing names the dispatcher of Service.
[[nodiscard]] inline std::uint64_t homeKey(const ServiceName &Service) {
  return hashText(Service.value(), 0x7265717565737473ULL);
}

/// Decides for which services this entry is the dispatcher now, and from
/// which minting time on it may judge a key that has no record.
class DispatcherRole {
public:
  DispatcherRole(EntryName Self, Millis Lease, Clock Time);

  /// Takes a new view.
  void onView(membership::ViewPtr Now);
  /// Takes over what the former dispatcher of Service handed on: it judged
  /// keys minted from From on, and its whole ledger has arrived.
  void onHandover(const ServiceName &Service, WallTime From);
  /// This entry hands over and stops.
  void leave() noexcept { Leaving_ = true; }
  /// Compares the clock with the last call. After a gap longer than the lease
  /// this entry is nobody's dispatcher until a new view arrives or two leases
  /// pass. Call it before each decision.
  void check();

  /// Whether this entry dispatches Service now.
  [[nodiscard]] bool isDispatcher(const ServiceName &Service) const;
  /// Whether a gap of the clock holds all dispatching back.
  [[nodiscard]] bool suspended() const noexcept {
    return Suspended_.has_value();
  }
  /// Keys of Service minted before this cannot be judged without a record.
  /// The tenure begins with the first call that finds this entry in office.
  [[nodiscard]] WallTime judgesFrom(const ServiceName &Service);
  /// Whether a former dispatcher that still lives may yet hand Service over.
  [[nodiscard]] bool awaitsHandover(const ServiceName &Service);
  /// The dispatcher of Service as this entry sees it, or null. A leaving
  /// entry names its successor.
  [[nodiscard]] const membership::Member *
  dispatcher(const ServiceName &Service) const;
  [[nodiscard]] const membership::View &view() const noexcept { return *View_; }

private:
  struct Term {
    WallTime From_;
    TimePoint Began_;
    bool HandedOver_ = false;
  };

  Term *term(const ServiceName &Service);

  EntryName Self_;
  Millis Lease_;
  Clock Time_;
  membership::ViewPtr View_;
  bool Leaving_ = false;
  TimePoint Checked_;
  std::optional<TimePoint> Suspended_;
  std::map<ServiceName, Term> Terms_;
  std::map<ServiceName, std::pair<WallTime, TimePoint>> Received_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_DISPATCHER_ROLE_HPP
