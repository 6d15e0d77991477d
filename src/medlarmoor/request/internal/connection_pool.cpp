#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/request/internal/connection_pool.hpp>

#include <boost/asio/io_context.hpp>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis LongestIdle = Seconds(2);
constexpr std::size_t IdlePerEndpoint = 64;

} // namespace

ConnectionPtr ConnectionPool::reuse(Endpoint To) {
  const auto At = Idle_.find(To);
  if (At == Idle_.end())
    return nullptr;
  const auto Oldest = std::chrono::steady_clock::now() - LongestIdle;
  std::erase_if(At->second, [Oldest](const ConnectionPtr &Each) {
    return Each->Idle_ < Oldest;
  });
  if (At->second.empty())
    return nullptr;
  ConnectionPtr Out = std::move(At->second.back());
  At->second.pop_back();
  Out->Reused_ = true;
  return Out;
}

Awaitable<ConnectionPtr> ConnectionPool::connect(Endpoint To, Nanos Timeout) {
  auto Out = std::make_shared<Connection>(Io_);
  Out->To_ = To;
  Error Failed;
  Out->Stream_.socket().open(asio::ip::tcp::v4(), Failed);
  if (!Failed && Source_ != Ipv4())
    Out->Stream_.socket().bind({asio::ip::address_v4(Source_.value()), 0},
                               Failed);
  if (Failed)
    co_return nullptr;
  Out->Stream_.expires_after(Timeout);
  co_await Out->Stream_.async_connect(net::internal::toTcp(To), into(Failed));
  if (Failed)
    co_return nullptr;
  Out->Stream_.socket().set_option(asio::ip::tcp::no_delay(true), Failed);
  co_return Out;
}

void ConnectionPool::giveBack(ConnectionPtr Idle) {
  std::vector<ConnectionPtr> &Kept = Idle_[Idle->To_];
  if (Kept.size() >= IdlePerEndpoint)
    return;
  Idle->Idle_ = std::chrono::steady_clock::now();
  Idle->Stream_.expires_never();
  Kept.push_back(std::move(Idle));
}

void ConnectionPool::purge(Endpoint To) { Idle_.erase(To); }

} // namespace medlarmoor::request::internal
