#ifndef MEDLARMOOR_MEMBERSHIP_VIEW_HPP
#define MEDLARMOOR_MEMBERSHIP_VIEW_HPP

#include <medlarmoor/membership/member.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace medlarmoor::membership {

/// The members of one failure domain as one entry sees them at one moment.
/// Immutable; equal members give an equal id in every process.
class View {
public:
  View() = default;
  /// Takes the members in any order. Self need not be among them: an entry
  /// whose own lease has lapsed is nobody's home.
  View(EntryName Self, std::vector<Member> Members);

  [[nodiscard]] ViewId id() const noexcept { return Id_; }
  [[nodiscard]] const EntryName &self() const noexcept { return Self_; }
  /// All members, sorted by name.
  [[nodiscard]] std::span<const Member> members() const noexcept {
    return Members_;
  }
  /// The member of that name, or null.
  [[nodiscard]] const Member *find(const EntryName &Name) const noexcept;

  /// The home of Key by rendezvous hashing over the live members, or null
  /// when there is none.
  [[nodiscard]] const Member *home(std::uint64_t Key) const noexcept;
  /// The live member that would be home of Key if Without were gone, or null.
  [[nodiscard]] const Member *
  homeWithout(std::uint64_t Key, const EntryName &Without) const noexcept;
  /// The live members in the order in which they would become home of Key;
  /// the home itself is the first.
  [[nodiscard]] std::vector<const Member *> line(std::uint64_t Key) const;

private:
  EntryName Self_;
  std::vector<Member> Members_;
  std::vector<std::uint64_t> Seeds_;
  ViewId Id_;
};
using ViewPtr = std::shared_ptr<const View>;

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_VIEW_HPP
