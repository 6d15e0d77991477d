#include <medlarmoor/net/http_request.hpp>

#include <boost/beast/core/string.hpp>

#include <charconv>

namespace medlarmoor::net {

namespace {

std::string unescape(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    const bool Escape = Text[I] == '%' && I + 2 < Text.size();
    if (Escape &&
        std::from_chars(&Text[I + 1], &Text[I + 1] + 2, Byte, 16).ptr ==
            &Text[I + 1] + 2) {
      Out += static_cast<char>(Byte);
      I += 2;
    } else {
      Out += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Out;
}

} // namespace

void HttpHeaders::add(std::string Name, std::string Value) {
  Fields_.emplace_back(std::move(Name), std::move(Value));
}

std::optional<std::string> HttpHeaders::find(std::string_view Name) const {
  for (const auto &[Key, Value] : Fields_)
    if (boost::beast::iequals(Key, Name))
      return Value;
  return std::nullopt;
}

std::string_view HttpRequest::path() const noexcept {
  return std::string_view(Target_).substr(0, Target_.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view Name) const {
  const std::size_t Mark = Target_.find('?');
  if (Mark == std::string::npos)
    return std::nullopt;
  std::string_view Rest = std::string_view(Target_).substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) != Name)
      continue;
    if (Equals == std::string_view::npos)
      return std::string();
    return unescape(Pair.substr(Equals + 1));
  }
  return std::nullopt;
}

} // namespace medlarmoor::net
