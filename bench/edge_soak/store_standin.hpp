#ifndef MEDLARMOOR_BENCH_EDGE_SOAK_STORE_STANDIN_HPP
#define MEDLARMOOR_BENCH_EDGE_SOAK_STORE_STANDIN_HPP

#include <harness/store_model.hpp>

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace medlarmoor::bench::soak {

/// What the stand-in does to calls.
enum class StoreMood : unsigned char {
  Well,
  /// Answers 503.
  Busy,
  /// Closes connections without an answer.
  Reset,
  /// Answers nothing.
  Silent,
  /// Answers late.
  Slow,
};

/// The reading half of the platform's object store: lists and watches over
/// HTTP. Objects are written by calls from within the soak.
class StoreStandin {
public:
  StoreStandin(boost::asio::io_context &Io, Endpoint Where, Clock Time);

  [[nodiscard]] bool listen() { return Server_.listen(); }

  /// Creates or replaces an object; a write that changes nothing is none.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec);
  void remove(const std::string &Kind, const std::string &Name);
  void mood(StoreMood Mood) { Mood_ = Mood; }
  [[nodiscard]] bool well() const noexcept { return Mood_ == StoreMood::Well; }
  /// Drops the history, so that old watches get 410.
  void forgetHistory() { Objects_.forgetHistory(); }
  /// Returns to the state at AsOf in another epoch; open watches are cut off.
  void restore(TimePoint AsOf);
  [[nodiscard]] std::uint64_t calls() const noexcept { return Calls_; }

private:
  struct Watch {
    std::string Kind_;
    std::uint64_t After_ = 0;
    net::HttpReply Reply_;
    boost::asio::steady_timer Timer_;
  };

  void handle(const net::HttpRequest &Request, const net::HttpReply &Reply);
  void answer(const net::HttpRequest &Request, const net::HttpReply &Reply);
  void watch(const std::string &Kind, std::uint64_t After, Millis Wait,
             const net::HttpReply &Reply);
  /// Answers a watch. Returns false if there are no changes yet, unless
  /// AlsoNothing.
  bool answerWatch(const Watch &Waiting, bool AlsoNothing);
  void answerWatches(const std::string &Kind);
  [[nodiscard]] net::HttpResponse response(unsigned Status,
                                           const nlohmann::json &Body) const;

  boost::asio::io_context &Io_;
  Clock Time_;
  net::HttpServer Server_;
  StoreMood Mood_ = StoreMood::Well;
  harness::StoreModel Objects_;
  std::list<std::shared_ptr<Watch>> Watches_;
  /// Replies that are never given.
  std::list<net::HttpReply> Silenced_;
  std::uint64_t Calls_ = 0;
};

} // namespace medlarmoor::bench::soak

#endif // MEDLARMOOR_BENCH_EDGE_SOAK_STORE_STANDIN_HPP
