#ifndef MEDLARMOOR_DAEMON_ADMIN_THREAD_HPP
#define MEDLARMOOR_DAEMON_ADMIN_THREAD_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <functional>
#include <memory>
#include <string>

namespace medlarmoor::daemon {

/// Serves the admin port on a thread of its own, so that it answers also when
/// the others are stuck.
class AdminThread {
public:
  /// Answers one request, on the admin thread.
  using Page = std::function<net::HttpResponse(const net::HttpRequest &)>;

  /// Sample runs twice a second on the admin thread.
  AdminThread(Endpoint Where, Page Answer, std::function<void()> Sample);
  ~AdminThread();
  AdminThread(const AdminThread &) = delete;
  AdminThread &operator=(const AdminThread &) = delete;

  /// Binds the port and starts the thread; false with lastReason().
  [[nodiscard]] bool start();
  /// Stops the thread and waits for its end.
  void stop();
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_ADMIN_THREAD_HPP
