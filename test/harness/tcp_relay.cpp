#include <harness/tcp_relay.hpp>

#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/net/listen_on.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>

namespace medlarmoor::harness {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t ChunkBytes = 16384;
/// How often a held chunk looks whether the cut is healed.
constexpr Millis RetryPeriod{20};

/// One direction of a connection, read by read.
struct Pump {
  Pump(asio::io_context &Io, Tcp::socket &Reads, Tcp::socket &Writes, Ipv4 From,
       Ipv4 To)
      : Reads_(Reads), Writes_(Writes), From_(From), To_(To), Timer_(Io) {}

  Tcp::socket &Reads_;
  Tcp::socket &Writes_;
  Ipv4 From_;
  Ipv4 To_;
  asio::steady_timer Timer_;
  std::array<char, ChunkBytes> Chunk_;
  std::size_t Size_ = 0;
  bool AtEnd_ = false;
};

/// One connection through the relay; kept alive by its own operations.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(asio::io_context &Io, Tcp::socket Client, Endpoint Target,
             std::string PortClass, const FaultRules &Rules,
             PassedBytes &Passed, const ShownAddresses &Shown)
      : Client_(std::move(Client)), Server_(Io), Target_(Target),
        PortClass_(std::move(PortClass)), Rules_(Rules), Passed_(Passed),
        Shown_(Shown), Source_(addressOf(Client_)),
        Up_(Io, Client_, Server_, Source_, Target.address()),
        Down_(Io, Server_, Client_, Target.address(), Source_) {}

  /// Connects once no cut stands in the way.
  void start() {
    if (Rules_.passage(Source_, Target_.address(), PortClass_).Cut_)
      return retry(Up_, [Self = shared_from_this()] { Self->start(); });
    Error Failed;
    Server_.open(Tcp::v4(), Failed);
    Server_.bind({asio::ip::address_v4(Shown_.of(Source_).value()), 0}, Failed);
    Server_.async_connect(net::internal::toTcp(Target_),
                          [Self = shared_from_this()](Error Refused) {
                            if (Refused)
                              return Self->close();
                            Self->read(Self->Up_);
                            Self->read(Self->Down_);
                          });
  }

  /// Goes silent when Rule matches; keeps both ends open until they close.
  bool silence(const FaultRule &Rule) {
    const bool Meant = matches(Rule, Source_, Target_.address(), PortClass_) ||
                       matches(Rule, Target_.address(), Source_, PortClass_);
    Silent_ |= Meant;
    return Meant;
  }

private:
  static Ipv4 addressOf(const Tcp::socket &Socket) {
    Error Ignored;
    const Tcp::endpoint Remote = Socket.remote_endpoint(Ignored);
    return Ipv4(Remote.address().to_v4().to_uint());
  }

  template <typename Then> void retry(Pump &Which, Then Next) {
    Which.Timer_.expires_after(RetryPeriod);
    Which.Timer_.async_wait([Next](Error Failed) {
      if (!Failed)
        Next();
    });
  }

  void read(Pump &Which) {
    Which.Reads_.async_read_some(
        asio::buffer(Which.Chunk_),
        [Self = shared_from_this(), &Which](Error Failed, std::size_t Size) {
          Which.Size_ = Size;
          Which.AtEnd_ = static_cast<bool>(Failed);
          if (Failed && Failed != asio::error::eof)
            return Self->close();
          Self->pass(Which);
        });
  }

  /// Hands on what was read, or holds it while the way is cut.
  void pass(Pump &Which) {
    if (Silent_)
      return drain(Which);
    const Passage Way = Rules_.passage(Which.From_, Which.To_, PortClass_);
    if (Way.Cut_)
      return retry(Which,
                   [Self = shared_from_this(), &Which] { Self->pass(Which); });
    if (Way.Delay_.count() == 0)
      return write(Which);
    Which.Timer_.expires_after(Way.Delay_);
    Which.Timer_.async_wait([Self = shared_from_this(), &Which](Error Failed) {
      if (!Failed)
        Self->write(Which);
    });
  }

  void write(Pump &Which) {
    if (Which.AtEnd_) {
      Error Ignored;
      Which.Writes_.shutdown(Tcp::socket::shutdown_send, Ignored);
      return;
    }
    Passed_[PortClass_] += Which.Size_;
    asio::async_write(
        Which.Writes_, asio::buffer(Which.Chunk_.data(), Which.Size_),
        [Self = shared_from_this(), &Which](Error Failed, std::size_t) {
          if (Failed)
            return Self->close();
          Self->read(Which);
        });
  }

  /// A silent connection takes bytes and hands none on. When one end closes,
  /// the other is not told.
  void drain(Pump &Which) {
    if (Which.AtEnd_)
      return retry(Which,
                   [Self = shared_from_this(), &Which] { Self->drain(Which); });
    read(Which);
  }

  void close() {
    if (Silent_)
      return;
    Error Ignored;
    Client_.close(Ignored);
    Server_.close(Ignored);
    Up_.Timer_.cancel();
    Down_.Timer_.cancel();
  }

  Tcp::socket Client_;
  Tcp::socket Server_;
  Endpoint Target_;
  std::string PortClass_;
  const FaultRules &Rules_;
  PassedBytes &Passed_;
  const ShownAddresses &Shown_;
  Ipv4 Source_;
  Pump Up_;
  Pump Down_;
  bool Silent_ = false;
};

} // namespace

class TcpRelay::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Endpoint Listen, Endpoint Target,
       std::string PortClass, const FaultRules &Rules, PassedBytes &Passed,
       const ShownAddresses &Shown)
      : Io_(Io), Listen_(Listen), Target_(Target),
        PortClass_(std::move(PortClass)), Rules_(Rules), Passed_(Passed),
        Shown_(Shown), Acceptor_(Io) {}

  bool listen() {
    Reason_ = net::listenOn(Acceptor_, Listen_);
    if (!Reason_.empty())
      return false;
    accept();
    return true;
  }

  void close() {
    Error Ignored;
    Acceptor_.close(Ignored);
  }

  std::size_t silence(const FaultRule &Rule) {
    std::size_t Count = 0;
    for (const std::weak_ptr<Connection> &Each : Connections_)
      if (const auto Open = Each.lock())
        Count += Open->silence(Rule) ? 1 : 0;
    return Count;
  }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }

private:
  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](Error Failed, Tcp::socket Client) {
          if (!Failed)
            Self->carry(std::move(Client));
          if (Self->Acceptor_.is_open())
            Self->accept();
        });
  }

  void carry(Tcp::socket Client) {
    const auto New = std::make_shared<Connection>(
        Io_, std::move(Client), Target_, PortClass_, Rules_, Passed_, Shown_);
    std::erase_if(Connections_,
                  [](const auto &Each) { return Each.expired(); });
    Connections_.push_back(New);
    New->start();
  }

  asio::io_context &Io_;
  Endpoint Listen_;
  Endpoint Target_;
  std::string PortClass_;
  const FaultRules &Rules_;
  PassedBytes &Passed_;
  const ShownAddresses &Shown_;
  Tcp::acceptor Acceptor_;
  std::string Reason_;
  std::list<std::weak_ptr<Connection>> Connections_;
};

TcpRelay::TcpRelay(asio::io_context &Io, Endpoint Listen, Endpoint Target,
                   std::string PortClass, const FaultRules &Rules,
                   PassedBytes &Passed, const ShownAddresses &Shown)
    : Impl_(std::make_shared<Impl>(Io, Listen, Target, std::move(PortClass),
                                   Rules, Passed, Shown)) {}

TcpRelay::~TcpRelay() { Impl_->close(); }

bool TcpRelay::listen() { return Impl_->listen(); }

const std::string &TcpRelay::lastReason() const noexcept {
  return Impl_->reason();
}

std::size_t TcpRelay::silence(const FaultRule &Rule) {
  return Impl_->silence(Rule);
}

} // namespace medlarmoor::harness
