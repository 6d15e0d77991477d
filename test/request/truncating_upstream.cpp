#include <request/truncating_upstream.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace medlarmoor::test {

namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

/// Returns the value of a header, or an empty text if it is missing.
std::string headerValue(const std::string &Header, const std::string &Name) {
  const std::size_t Found = Header.find(Name + ": ");
  if (Found == std::string::npos)
    return {};
  const std::size_t Begin = Found + Name.size() + 2;
  return Header.substr(Begin, Header.find('\r', Begin) - Begin);
}

} // namespace

TruncatingUpstream::TruncatingUpstream(Endpoint Local, std::size_t Announced,
                                       std::size_t Sent)
    : Acceptor_(Io_, net::internal::toTcp(Local)), Announced_(Announced),
      Sent_(Sent), Thread_([this] { serve(); }) {}

TruncatingUpstream::~TruncatingUpstream() {
  ::shutdown(Acceptor_.native_handle(), SHUT_RDWR);
  Thread_.join();
}

void TruncatingUpstream::serve() {
  Error Failed;
  while (!Failed) {
    asio::ip::tcp::socket Socket(Io_);
    Acceptor_.accept(Socket, Failed);
    if (!Failed)
      answer(Socket);
  }
}

void TruncatingUpstream::answer(asio::ip::tcp::socket &Socket) const {
  Error Failed;
  std::string Header;
  asio::read_until(Socket, asio::dynamic_buffer(Header), "\r\n\r\n", Failed);
  if (Failed || !Header.starts_with("POST /run"))
    return;
  const std::string Reply =
      "HTTP/1.1 200 OK\r\nMedlarmoor-Attempt: " +
      headerValue(Header, "Medlarmoor-Attempt") +
      "\r\nContent-Length: " + std::to_string(Announced_) + "\r\n\r\n" +
      std::string(Sent_, 'x');
  asio::write(Socket, asio::buffer(Reply), Failed);
}

} // namespace medlarmoor::test
