#ifndef MEDLARMOOR_CORE_JSON_TEXT_HPP
#define MEDLARMOOR_CORE_JSON_TEXT_HPP

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarmoor {

/// Splits JSON text without parsing its values, so that a value that a parser
/// refuses does not spoil its neighbours. Only quotes and brackets are looked
/// at; the parts are not validated. Memory does not grow with the nesting.

/// Returns the largest number of arrays and objects that are open at once.
[[nodiscard]] std::size_t jsonDepth(std::string_view Text) noexcept;

/// Returns the text of each element of an array; empty if Text is not an array
/// or has unbalanced brackets.
[[nodiscard]] std::vector<std::string_view> jsonElements(std::string_view Text);

/// Keys of an object as written between the quotes, and the text of their
/// values.
using JsonMembers = std::vector<std::pair<std::string_view, std::string_view>>;

/// Returns the members of an object; empty if Text is not an object or has
/// unbalanced brackets.
[[nodiscard]] JsonMembers jsonMembers(std::string_view Text);

/// Returns the text of the value with this key; empty if there is none.
[[nodiscard]] std::string_view jsonMember(const JsonMembers &Members,
                                          std::string_view Key);

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_JSON_TEXT_HPP
