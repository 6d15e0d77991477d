#ifndef MEDLARMOOR_TEST_REQUEST_TRUNCATING_UPSTREAM_HPP
#define MEDLARMOOR_TEST_REQUEST_TRUNCATING_UPSTREAM_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/internal_http.hpp>

#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

namespace medlarmoor::test {

/// An upstream that promises a body of one length and sends another, then
/// closes the connection.
class TruncatingUpstream {
public:
  TruncatingUpstream(Endpoint Where, std::size_t Promised, std::size_t Sent);
  ~TruncatingUpstream();
  TruncatingUpstream(const TruncatingUpstream &) = delete;
  TruncatingUpstream &operator=(const TruncatingUpstream &) = delete;

private:
  void serve();
  void answer(boost::asio::ip::tcp::socket &Socket) const;

  boost::asio::io_context Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::size_t Promised_;
  std::size_t Sent_;
  std::thread Thread_;
};

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_REQUEST_TRUNCATING_UPSTREAM_HPP
