#include <request/truncating_upstream.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace medlarmoor::test {

namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

std::string fieldIn(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find(Name + ": ");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 2;
  return Head.substr(Begin, Head.find('\r', Begin) - Begin);
}

} // namespace

TruncatingUpstream::TruncatingUpstream(Endpoint Where, std::size_t Promised,
                                       std::size_t Sent)
    : Acceptor_(Io_, net::internal::toTcp(Where)), Promised_(Promised),
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
  std::string Head;
  asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Failed);
  if (Failed || !Head.starts_with("POST /run"))
    return;
  const std::string Reply = "HTTP/1.1 200 OK\r\nMedlarmoor-Attempt: " +
                            fieldIn(Head, "Medlarmoor-Attempt") +
                            "\r\nContent-Length: " + std::to_string(Promised_) +
                            "\r\n\r\n" + std::string(Sent_, 'x');
  asio::write(Socket, asio::buffer(Reply), Failed);
}

} // namespace medlarmoor::test
