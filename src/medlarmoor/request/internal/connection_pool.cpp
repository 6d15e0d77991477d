#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/request/internal/connection_pool.hpp>

#include <boost/asio/io_context.hpp>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis MaxIdleTime = Seconds(2);
constexpr std::size_t MaxIdlePerEndpoint = 64;

} // namespace

ConnectionPtr ConnectionPool::reuse(Endpoint Remote) {
  const auto Found = Idle_.find(Remote);
  if (Found == Idle_.end())
    return nullptr;
  const auto Oldest = std::chrono::steady_clock::now() - MaxIdleTime;
  std::erase_if(Found->second, [Oldest](const ConnectionPtr &Candidate) {
    return Candidate->IdleSince_ < Oldest;
  });
  if (Found->second.empty())
    return nullptr;
  ConnectionPtr Reused = std::move(Found->second.back());
  Found->second.pop_back();
  Reused->Reused_ = true;
  return Reused;
}

Awaitable<ConnectionPtr> ConnectionPool::connect(Endpoint Remote,
                                                 Nanos Timeout) {
  auto Opened = std::make_shared<Connection>(Io_);
  Opened->Remote_ = Remote;
  Error Failed;
  Opened->Stream_.socket().open(asio::ip::tcp::v4(), Failed);
  if (!Failed && Source_ != Ipv4())
    Opened->Stream_.socket().bind({asio::ip::address_v4(Source_.value()), 0},
                                  Failed);
  if (Failed)
    co_return nullptr;
  Opened->Stream_.expires_after(Timeout);
  co_await Opened->Stream_.async_connect(net::internal::toTcp(Remote),
                                         storeError(Failed));
  if (Failed)
    co_return nullptr;
  Opened->Stream_.socket().set_option(asio::ip::tcp::no_delay(true), Failed);
  co_return Opened;
}

void ConnectionPool::release(ConnectionPtr Idle) {
  std::vector<ConnectionPtr> &Pooled = Idle_[Idle->Remote_];
  if (Pooled.size() >= MaxIdlePerEndpoint)
    return;
  Idle->IdleSince_ = std::chrono::steady_clock::now();
  Idle->Stream_.expires_never();
  Pooled.push_back(std::move(Idle));
}

void ConnectionPool::purge(Endpoint Remote) { Idle_.erase(Remote); }

} // namespace medlarmoor::request::internal
