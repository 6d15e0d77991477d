#include <harness/process.hpp>

#include <harness/json_http.hpp>
#include <harness/wait.hpp>
#include <medlarmoor/net/http_client.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

namespace medlarmoor::harness {

namespace {

constexpr int CannotRun = 127;
constexpr int LogMode = 0644;
constexpr Millis HealthTimeout{500};

/// Runs in the child between fork and exec: calls only what is safe there.
[[noreturn]] void runChild(const char *Path, char *const *Arguments,
                           const char *Log, pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(CannotRun);
  setpgid(0, 0);
  sigset_t None;
  sigemptyset(&None);
  sigprocmask(SIG_SETMASK, &None, nullptr);
  const int File = open(Log, O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Path, Arguments);
  _exit(CannotRun);
}

} // namespace

Process::~Process() { kill(); }

Process::Process(Process &&Other) noexcept
    : Id_(std::exchange(Other.Id_, -1)),
      Ended_(std::exchange(Other.Ended_, true)), Code_(Other.Code_),
      Log_(std::move(Other.Log_)) {}

Process &Process::operator=(Process &&Other) noexcept {
  std::swap(Id_, Other.Id_);
  std::swap(Ended_, Other.Ended_);
  std::swap(Code_, Other.Code_);
  std::swap(Log_, Other.Log_);
  return *this;
}

Process Process::start(const std::string &Program,
                       const std::vector<std::string> &Arguments,
                       const std::string &Log) {
  std::string Path = std::string(MEDLARMOOR_BIN_DIR) + "/" + Program;
  std::vector<std::string> Words = Arguments;
  std::vector<char *> Pointers{Path.data()};
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  const pid_t Parent = getpid();
  const pid_t Child = fork();
  if (Child == 0)
    runChild(Path.c_str(), Pointers.data(), Log.c_str(), Parent);
  Process Out;
  Out.Id_ = Child;
  Out.Ended_ = Child < 0;
  Out.Log_ = Log;
  return Out;
}

bool Process::reap() {
  if (Ended_)
    return true;
  int Status = 0;
  if (waitpid(Id_, &Status, WNOHANG) != Id_)
    return false;
  Ended_ = true;
  if (WIFEXITED(Status))
    Code_ = WEXITSTATUS(Status);
  return true;
}

bool Process::running() { return !reap(); }

bool Process::waitHealthy(Endpoint Where, Millis Limit) {
  bool Healthy = false;
  const bool Known = waitUntil(
      [&] {
        if (!running())
          return true;
        std::string Reason;
        const auto Response = net::httpCall(
            Where, {"GET", "/healthz", {}, {}, {}}, HealthTimeout, Reason);
        Healthy = Response && Response->Status_ == 200;
        return Healthy;
      },
      Limit);
  return Known && Healthy;
}

void Process::signal(int Number) const {
  if (!Ended_)
    ::kill(Id_, Number);
}

std::optional<int> Process::wait(Millis Limit) {
  if (waitUntil([this] { return reap(); }, Limit))
    return Code_;
  return std::nullopt;
}

std::optional<int> Process::stop(Millis Limit) {
  signal(SIGTERM);
  if (!waitUntil([this] { return reap(); }, Limit))
    kill();
  return Code_;
}

void Process::kill() {
  signal(SIGKILL);
  while (!reap())
    usleep(1000);
}

void Process::pause() const { signal(SIGSTOP); }

void Process::resume() const { signal(SIGCONT); }

std::string Process::log() const {
  std::ostringstream Out;
  Out << std::ifstream(Log_).rdbuf();
  return Out.str();
}

} // namespace medlarmoor::harness
