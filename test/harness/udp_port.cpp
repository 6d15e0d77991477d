#include <harness/udp_port.hpp>

#include <medlarmoor/net/udp_socket.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <array>

namespace medlarmoor::harness {

namespace {

namespace asio = boost::asio;
constexpr std::size_t LargestDatagram = 65536;
/// Datagrams that are read in one go before others get their turn.
constexpr int BatchSize = 64;

} // namespace

class UdpPort::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, DatagramHandler Handler)
      : Handler_(std::move(Handler)), Readable_(Io) {}

  bool open(Endpoint Where) {
    if (!Socket_.open(Where))
      return false;
    Readable_.assign(Socket_.descriptor());
    wait();
    return true;
  }

  void close() {
    Handler_ = nullptr;
    if (Readable_.is_open())
      Readable_.release();
  }

  void send(Endpoint To, std::span<const std::byte> Datagram) {
    Socket_.send(To, Datagram);
  }

  [[nodiscard]] const std::string &reason() const noexcept {
    return Socket_.lastReason();
  }

private:
  void wait() {
    Readable_.async_wait(
        asio::posix::descriptor_base::wait_read,
        [Self = shared_from_this()](boost::system::error_code Failed) {
          if (!Failed)
            Self->read();
        });
  }

  void read() {
    for (int I = 0; I < BatchSize && Handler_; ++I) {
      const std::optional<net::Datagram> Got = Socket_.receive(Buffer_);
      if (!Got)
        break;
      Handler_(Got->From_, Got->Bytes_);
    }
    if (Handler_)
      wait();
  }

  DatagramHandler Handler_;
  net::UdpSocket Socket_;
  asio::posix::stream_descriptor Readable_;
  std::array<std::byte, LargestDatagram> Buffer_;
};

UdpPort::UdpPort(asio::io_context &Io, DatagramHandler Handler)
    : Impl_(std::make_shared<Impl>(Io, std::move(Handler))) {}

UdpPort::~UdpPort() { Impl_->close(); }

bool UdpPort::open(Endpoint Where) { return Impl_->open(Where); }

void UdpPort::send(Endpoint To, std::span<const std::byte> Datagram) {
  Impl_->send(To, Datagram);
}

void UdpPort::send(Endpoint To, const std::string &Datagram) {
  Impl_->send(To, std::as_bytes(std::span(Datagram)));
}

const std::string &UdpPort::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::harness
