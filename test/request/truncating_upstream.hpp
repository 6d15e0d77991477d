#ifndef MEDLARMOOR_TEST_REQUEST_TRUNCATING_UPSTREAM_HPP
#define MEDLARMOOR_TEST_REQUEST_TRUNCATING_UPSTREAM_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/internal_http.hpp>

#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

namespace medlarmoor::test {

/// An upstream that announces a body of Announced bytes, sends Sent bytes and
/// closes the connection.
class TruncatingUpstream {
public:
  TruncatingUpstream(Endpoint Local, std::size_t Announced, std::size_t Sent);
  ~TruncatingUpstream();
  TruncatingUpstream(const TruncatingUpstream &) = delete;
  TruncatingUpstream &operator=(const TruncatingUpstream &) = delete;

private:
  void serve();
  void answer(boost::asio::ip::tcp::socket &Socket) const;

  boost::asio::io_context Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::size_t Announced_;
  std::size_t Sent_;
  std::thread Thread_;
};

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_REQUEST_TRUNCATING_UPSTREAM_HPP
