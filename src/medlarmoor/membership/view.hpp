#ifndef MEDLARMOOR_MEMBERSHIP_VIEW_HPP
#define MEDLARMOOR_MEMBERSHIP_VIEW_HPP

#include <medlarmoor/membership/member.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace medlarmoor::membership {

/// The members of one failure domain as one entry sees them at one time.
/// Immutable. Views with equal members have the same id in every process.
class View {
public:
  View() = default;
  /// Members may have any order. Self need not be among them, because an entry
  /// whose own lease has lapsed is not a home.
  View(EntryName Self, std::vector<Member> Members);

  [[nodiscard]] ViewId id() const noexcept { return Id_; }
  [[nodiscard]] const EntryName &self() const noexcept { return Self_; }
  /// Returns all members, sorted by name.
  [[nodiscard]] std::span<const Member> members() const noexcept {
    return Members_;
  }
  /// Returns the member of that name, or null.
  [[nodiscard]] const Member *find(const EntryName &Name) const noexcept;

  /// Returns the home of Key by rendezvous hashing over the live members, or
  /// null if there is no live member.
  [[nodiscard]] const Member *home(std::uint64_t Key) const noexcept;
  /// Returns the live member that would be the home of Key if Excluded were
  /// gone, or null.
  [[nodiscard]] const Member *
  homeWithout(std::uint64_t Key, const EntryName &Excluded) const noexcept;
  /// Returns the live members in the order in which they would become the home
  /// of Key. The current home is the first.
  [[nodiscard]] std::vector<const Member *>
  homeCandidates(std::uint64_t Key) const;

private:
  EntryName Self_;
  std::vector<Member> Members_;
  std::vector<std::uint64_t> Seeds_;
  ViewId Id_;
};
using ViewPtr = std::shared_ptr<const View>;

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_VIEW_HPP
