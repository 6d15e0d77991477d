#ifndef MEDLARMOOR_HARNESS_MUTATE_HPP
#define MEDLARMOOR_HARNESS_MUTATE_HPP

#include <rapidcheck.h>

#include <cctype>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// Returns Text with a few random edits of the kinds that break decoders:
/// changed, removed and repeated bytes, a cut end, and values of another type
/// or out of range in the place of a JSON number or string.
inline std::string mutate(std::string Text) {
  static const std::vector<std::string> Values{"null",
                                               "true",
                                               "-1",
                                               "0",
                                               "1e308",
                                               "-1e308",
                                               "0.5",
                                               "[]",
                                               "{}",
                                               "\"\"",
                                               "18446744073709551615",
                                               "-9223372036854775808",
                                               "99999999999999999999",
                                               "\"a\"",
                                               "\"\xff\xfe\"",
                                               "[[]]",
                                               "4294967296",
                                               "65536"};
  const int Edits = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Edits && !Text.empty(); ++I) {
    const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    const auto Length = *rc::gen::inRange<std::size_t>(0, 12);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
      Text[At] = static_cast<char>(*rc::gen::inRange(0, 256));
      break;
    case 1:
      Text.erase(At, Length);
      break;
    case 2:
      Text.insert(At, Text.substr(At, Length));
      break;
    case 3:
      Text.resize(At);
      break;
    default: {
      // Replaces the next number or string.
      std::size_t Begin = At;
      while (Begin < Text.size() && Text[Begin] != '"' &&
             std::isdigit(static_cast<unsigned char>(Text[Begin])) == 0)
        ++Begin;
      if (Begin == Text.size())
        break;
      std::size_t End = Begin + 1;
      if (Text[Begin] == '"') {
        End = Text.find('"', End);
        End = End == std::string::npos ? Text.size() : End + 1;
      } else {
        while (End < Text.size() &&
               std::isdigit(static_cast<unsigned char>(Text[End])) != 0)
          ++End;
      }
      Text.replace(Begin, End - Begin,
                   Values[*rc::gen::inRange<std::size_t>(0, Values.size())]);
      break;
    }
    }
  }
  return Text;
}

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_MUTATE_HPP
