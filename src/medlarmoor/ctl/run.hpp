#ifndef MEDLARMOOR_CTL_RUN_HPP
#define MEDLARMOOR_CTL_RUN_HPP

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace medlarmoor::ctl {

/// The flags and words of the command line as they were given.
struct RawOptions {
  std::string Platform_;
  std::string Output_;
  std::int64_t Seen_ = -1;
  std::int64_t Over_ = -1;
  std::string From_;
  std::string To_;
  std::uint32_t ProvingSeconds_ = 0;
  std::string Entry_;
  std::string Flow_;
  std::string Key_;
  std::uint32_t PatienceMs_ = 0;
  std::vector<std::string> Words_;
};

/// The help text.
extern const char *const Usage;

/// Runs the command that Given names, writes what it has to say to Out (usage
/// errors to Err) and returns the exit code.
int run(const RawOptions &Given, std::ostream &Out, std::ostream &Err);

} // namespace medlarmoor::ctl

#endif // MEDLARMOOR_CTL_RUN_HPP
