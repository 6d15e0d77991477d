#ifndef MEDLARMOOR_HARNESS_PROCESS_HPP
#define MEDLARMOOR_HARNESS_PROCESS_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// A program that was started from the build folder. It ends with the object,
/// and the system ends it when the thread that started it ends, so start it
/// from a thread that outlives it. It is signalled by its own id only.
class Process {
public:
  Process() = default;
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;

  /// Starts build/PROGRAM with its output appended to Log.
  [[nodiscard]] static Process start(const std::string &Program,
                                     const std::vector<std::string> &Arguments,
                                     const std::string &Log);

  /// Waits until `GET /healthz` at Where is answered; false when the process
  /// ends first or the time is over.
  [[nodiscard]] bool waitHealthy(Endpoint Where, Millis Limit = Seconds(10));

  /// Sends the signal while the process runs.
  void signal(int Number) const;
  /// Asks the process to stop (SIGTERM) and waits; kills it when it does not
  /// end within Limit. The exit code, or nothing when a signal ended it.
  std::optional<int> stop(Millis Limit = Seconds(10));
  /// Ends the process at once (SIGKILL).
  void kill();
  /// Holds the process (SIGSTOP) until resume() (SIGCONT).
  void pause() const;
  void resume() const;

  /// Waits for the end: the exit code, or nothing when a signal ended the
  /// process or it still runs after Limit.
  std::optional<int> wait(Millis Limit);
  [[nodiscard]] bool running();
  [[nodiscard]] pid_t id() const noexcept { return Id_; }
  /// What the process wrote so far.
  [[nodiscard]] std::string log() const;

private:
  /// Takes the state of an ended process; true when it has ended.
  bool reap();

  pid_t Id_ = -1;
  bool Ended_ = true;
  std::optional<int> Code_;
  std::string Log_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_PROCESS_HPP
