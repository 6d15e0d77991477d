#ifndef MEDLARMOOR_NET_LISTEN_ON_HPP
#define MEDLARMOOR_NET_LISTEN_ON_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace medlarmoor::net {

/// Opens Acceptor at Where and begins to listen. Gives the reason, which names
/// Where, when that fails, and an empty text otherwise.
[[nodiscard]] std::string listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                                   Endpoint Where);

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_LISTEN_ON_HPP
