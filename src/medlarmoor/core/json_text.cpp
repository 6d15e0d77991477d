#include <medlarmoor/core/json_text.hpp>

#include <algorithm>

namespace medlarmoor {

namespace {

constexpr std::string_view Whitespace = " \t\r\n";

std::string_view trim(std::string_view Text) noexcept {
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

/// Returns the position after the string that begins at the quote at Begin, or
/// the end of Text if it is not terminated.
std::size_t endOfString(std::string_view Text, std::size_t Begin) noexcept {
  for (std::size_t At = Begin + 1; At < Text.size(); ++At)
    if (Text[At] == '"')
      return At + 1;
    else if (Text[At] == '\\')
      ++At;
  return Text.size();
}

/// Calls Visit for each bracket and comma outside of strings, with its
/// position.
template <typename Visitor>
void visitStructure(std::string_view Text, Visitor Visit) {
  for (std::size_t At = 0; At < Text.size();) {
    switch (Text[At]) {
    case '"':
      At = endOfString(Text, At);
      continue;
    case '[':
    case ']':
    case '{':
    case '}':
    case ',':
      Visit(Text[At], At);
      break;
    default:
      break;
    }
    ++At;
  }
}

/// Returns the parts between the brackets Open and Close, separated by commas.
std::vector<std::string_view> split(std::string_view Text, char Open,
                                    char Close) {
  Text = trim(Text);
  if (Text.size() < 2 || Text.front() != Open || Text.back() != Close)
    return {};
  std::vector<std::string_view> Parts;
  std::size_t Depth = 0;
  std::size_t Begin = 1;
  bool Balanced = true;
  visitStructure(Text, [&](char Kind, std::size_t At) {
    if (Kind == '[' || Kind == '{') {
      ++Depth;
    } else if (Kind == ']' || Kind == '}') {
      Balanced = Balanced && Depth > 0 && (Depth > 1 || At + 1 == Text.size());
      Depth -= Depth > 0 ? 1 : 0;
    } else if (Kind == ',' && Depth == 1) {
      Parts.push_back(trim(Text.substr(Begin, At - Begin)));
      Begin = At + 1;
    }
  });
  if (!Balanced || Depth != 0)
    return {};
  const std::string_view Last =
      trim(Text.substr(Begin, Text.size() - 1 - Begin));
  if (!Last.empty() || !Parts.empty())
    Parts.push_back(Last);
  return Parts;
}

} // namespace

std::size_t jsonDepth(std::string_view Text) noexcept {
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  visitStructure(Text, [&](char Kind, std::size_t) {
    if (Kind == '[' || Kind == '{')
      Deepest = std::max(Deepest, ++Depth);
    else if ((Kind == ']' || Kind == '}') && Depth > 0)
      --Depth;
  });
  return Deepest;
}

std::vector<std::string_view> jsonElements(std::string_view Text) {
  return split(Text, '[', ']');
}

JsonMembers jsonMembers(std::string_view Text) {
  JsonMembers Members;
  for (const std::string_view Part : split(Text, '{', '}')) {
    if (Part.empty() || Part.front() != '"')
      return {};
    const std::size_t KeyEnd = endOfString(Part, 0);
    const std::size_t Colon = Part.find(':', KeyEnd);
    if (Colon == std::string_view::npos)
      return {};
    Members.emplace_back(Part.substr(1, KeyEnd - 2),
                         trim(Part.substr(Colon + 1)));
  }
  return Members;
}

std::string_view jsonMember(const JsonMembers &Members, std::string_view Key) {
  for (const auto &[Name, Value] : Members)
    if (Name == Key)
      return Value;
  return {};
}

} // namespace medlarmoor
