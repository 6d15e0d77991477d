#include <harness/standin_main.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace medlarmoor::harness {

namespace {

constexpr int UsageError = 2;

} // namespace

void runUntilStopped(boost::asio::io_context &Io) {
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&Io](boost::system::error_code, int) { Io.stop(); });
  Io.run();
}

Endpoint endpointFlag(const char *Flag, const std::string &Text) {
  if (const std::optional<Endpoint> Out = Endpoint::parse(Text))
    return *Out;
  std::fprintf(stderr, "--%s: '%s' is not address:port\n", Flag, Text.c_str());
  std::exit(UsageError);
}

int cannotStart(const std::string &Reason) {
  std::fprintf(stderr, "cannot start: %s\n", Reason.c_str());
  return UsageError;
}

} // namespace medlarmoor::harness
