#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/net/listen_on.hpp>

namespace medlarmoor::net {

std::string listenOn(boost::asio::ip::tcp::acceptor &Acceptor, Endpoint Where) {
  using boost::asio::socket_base;
  boost::system::error_code Failed;
  const boost::asio::ip::tcp::endpoint Local = internal::toTcp(Where);
  Acceptor.open(Local.protocol(), Failed);
  if (!Failed)
    Acceptor.set_option(socket_base::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(Local, Failed);
  if (!Failed)
    Acceptor.listen(socket_base::max_listen_connections, Failed);
  return Failed ? Where.text() + ": " + Failed.message() : std::string();
}

} // namespace medlarmoor::net
