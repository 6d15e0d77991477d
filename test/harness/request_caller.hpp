#ifndef MEDLARMOOR_HARNESS_REQUEST_CALLER_HPP
#define MEDLARMOOR_HARNESS_REQUEST_CALLER_HPP

#include <harness/request_load.hpp>
#include <harness/request_record.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/net/http_client.hpp>

#include <cstdint>
#include <list>
#include <string>

namespace medlarmoor::harness {

/// The request side of a caller: sends requests to entries by seed, calls again
/// with the same key where the answer allows it or none came, and checks that
/// each answer is whole and its own.
class RequestCaller {
public:
  RequestCaller(boost::asio::io_context &Io, Ipv4 Address, std::uint64_t Seed);

  void setLoad(const RequestLoad &Load);
  [[nodiscard]] const RequestLoad &load() const noexcept { return Load_; }
  /// Starts the requests that are due.
  void tick(TimePoint Now);

  [[nodiscard]] const std::list<RequestRecord> &records() const noexcept {
    return Records_;
  }
  /// Requests that are not over yet.
  [[nodiscard]] std::size_t open() const noexcept { return Open_; }

private:
  void start();
  void call(RequestRecord &Which);
  void onAnswer(RequestRecord &Which, CallRecord Call,
                const std::optional<net::HttpResponse> &Response,
                const std::string &Reason);
  void callAgainOrEnd(RequestRecord &Which);
  void end(RequestRecord &Which);
  [[nodiscard]] std::string newKey();

  boost::asio::io_context &Io_;
  net::HttpClient Client_;
  Random Random_;
  Clock Clock_;
  RequestLoad Load_;
  std::list<RequestRecord> Records_;
  std::size_t Open_ = 0;
  TimePoint NextAt_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_REQUEST_CALLER_HPP
