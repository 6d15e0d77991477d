#ifndef MEDLARMOOR_HARNESS_STANDIN_MAIN_HPP
#define MEDLARMOOR_HARNESS_STANDIN_MAIN_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <optional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::harness {

/// Runs Io until SIGINT or SIGTERM arrives. Call it from the main thread.
void runUntilStopped(boost::asio::io_context &Io);

/// The endpoint that a flag names; otherwise prints the flag and ends the
/// process with code 2.
[[nodiscard]] Endpoint endpointFlag(const char *Flag, const std::string &Text);

/// Prints why a stand-in cannot start and returns its exit code.
[[nodiscard]] int cannotStart(const std::string &Reason);

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_STANDIN_MAIN_HPP
