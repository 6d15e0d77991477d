#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/run.hpp>

#include <array>
#include <functional>
#include <ostream>
#include <string_view>

namespace medlarmoor::ctl {

const char *const Usage =
    "checks, applies, promotes and explains configuration\n"
    "  medlarmoorctl check FILE\n"
    "  medlarmoorctl --platform ADDRESS:PORT diff FILE\n"
    "  medlarmoorctl --platform ADDRESS:PORT apply FILE [--seen VERSION]\n"
    "  medlarmoorctl --platform ADDRESS:PORT promote --from ENVIRONMENT\n"
    "      --to ENVIRONMENT --seen VERSION [--over VERSION]\n"
    "      [--proving_seconds N]\n"
    "  medlarmoorctl --platform ADDRESS:PORT status ENVIRONMENT\n"
    "  medlarmoorctl --entry ADDRESS:PORT explain --flow FLOW | --key KEY\n"
    "Each takes --output text|json. Exit codes: 0 done, 1 findings, 2 usage,\n"
    "3 conflict, 4 unreachable, 5 uncertain, 6 not proven.";

namespace {

/// What a command needs besides its words.
enum class Needs : unsigned char { Nothing, Platform, Entry };

struct Command {
  std::string_view Name_;
  std::size_t Words_;
  Needs Needs_;
  Outcome (*Run_)(const std::vector<std::string> &, const Options &);
};

using Words = std::vector<std::string>;

constexpr std::array Commands{
    Command{
        "check", 1, Needs::Nothing,
        [](const Words &Given, const Options &) { return check(Given[0]); }},
    Command{"apply", 1, Needs::Platform,
            [](const Words &Given, const Options &Asked) {
              return apply(Given[0], Asked);
            }},
    Command{"diff", 1, Needs::Platform,
            [](const Words &Given, const Options &Asked) {
              return diff(Given[0], Asked);
            }},
    Command{"promote", 0, Needs::Platform,
            [](const Words &, const Options &Asked) { return promote(Asked); }},
    Command{"explain", 0, Needs::Entry,
            [](const Words &, const Options &Asked) { return explain(Asked); }},
    Command{"status", 1, Needs::Platform,
            [](const Words &Given, const Options &Asked) {
              return status(Given[0], Asked);
            }},
};

/// Reads "address:port", with or without "http://" before it.
std::optional<Endpoint> readEndpoint(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  if (Text.starts_with(Scheme))
    Text.remove_prefix(Scheme.size());
  if (Text.ends_with('/'))
    Text.remove_suffix(1);
  return Endpoint::parse(Text);
}

std::optional<ConfigVersion> readVersion(std::int64_t Value) {
  if (Value < 0)
    return std::nullopt;
  return ConfigVersion(static_cast<std::uint64_t>(Value));
}

Options readOptions(const RawOptions &Given) {
  Options Out;
  Out.Platform_ = readEndpoint(Given.Platform_);
  Out.Entry_ = readEndpoint(Given.Entry_);
  Out.Seen_ = readVersion(Given.Seen_);
  Out.Over_ = readVersion(Given.Over_);
  Out.From_ = Given.From_;
  Out.To_ = Given.To_;
  Out.Proving_ = Seconds(Given.ProvingSeconds_);
  Out.Flow_ = Given.Flow_;
  Out.Key_ = Given.Key_;
  Out.Patience_ = Millis(Given.PatienceMs_);
  return Out;
}

/// Why the command can't run as it was given; empty when it can.
std::string missing(const Command &Each, const Words &Given,
                    const Options &Asked) {
  if (Given.size() != Each.Words_)
    return "'" + std::string(Each.Name_) + "' takes " +
           std::to_string(Each.Words_) + " word(s)";
  if (Each.Needs_ == Needs::Platform && !Asked.Platform_)
    return "--platform ADDRESS:PORT is needed";
  if (Each.Needs_ == Needs::Entry && !Asked.Entry_)
    return "--entry ADDRESS:PORT is needed";
  if (Each.Name_ == "promote" &&
      (Asked.From_.empty() || Asked.To_.empty() || !Asked.Seen_))
    return "--from, --to and --seen are needed";
  if (Each.Name_ == "explain" && Asked.Flow_.empty() == Asked.Key_.empty())
    return "one of --flow and --key is needed";
  return {};
}

int usage(std::ostream &Err, const std::string &Reason) {
  Err << "medlarmoorctl: " << Reason << "\n\n" << Usage << "\n";
  return static_cast<int>(ExitCode::Usage);
}

} // namespace

int run(const RawOptions &Given, std::ostream &Out, std::ostream &Err) {
  if (Given.Output_ != "text" && Given.Output_ != "json")
    return usage(Err, "--output takes text or json");
  if (Given.Words_.empty())
    return usage(Err, "a command is needed");
  const Words Rest(Given.Words_.begin() + 1, Given.Words_.end());
  const Options Asked = readOptions(Given);
  for (const Command &Each : Commands) {
    if (Each.Name_ != Given.Words_[0])
      continue;
    const std::string Reason = missing(Each, Rest, Asked);
    if (!Reason.empty())
      return usage(Err, Reason);
    const Outcome Done = Each.Run_(Rest, Asked);
    Out << (Given.Output_ == "json" ? Done.Json_.dump(2) + "\n" : Done.Text_);
    return static_cast<int>(Done.Code_);
  }
  return usage(Err, "unknown command '" + Given.Words_[0] + "'");
}

} // namespace medlarmoor::ctl
