#include <medlarmoor/core/endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace medlarmoor {

std::optional<Ipv4> Ipv4::parse(std::string_view Text) {
  const std::string Terminated(Text);
  in_addr Raw{};
  if (inet_pton(AF_INET, Terminated.c_str(), &Raw) != 1)
    return std::nullopt;
  return Ipv4(ntohl(Raw.s_addr));
}

std::string Ipv4::text() const {
  in_addr Raw{};
  Raw.s_addr = htonl(Value_);
  char Buffer[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Raw, Buffer, sizeof(Buffer));
  return Buffer;
}

std::optional<Endpoint> Endpoint::parse(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::optional<Ipv4> Address = Ipv4::parse(Text.substr(0, Colon));
  if (!Address)
    return std::nullopt;
  const std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  const bool Whole = End == Digits.data() + Digits.size();
  if (Error != std::errc() || !Whole || Port == 0)
    return std::nullopt;
  return Endpoint(*Address, Port);
}

std::string Endpoint::text() const {
  return Address_.text() + ":" + std::to_string(Port_);
}

} // namespace medlarmoor
