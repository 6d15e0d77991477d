#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/internal_findings.hpp>
#include <medlarmoor/ctl/internal_publish.hpp>
#include <medlarmoor/platform/publish.hpp>

#include <cstdio>
#include <random>

namespace medlarmoor::ctl {

using namespace config;

namespace {

Outcome report(ExitCode Code, const char *Result, std::string Text) {
  Outcome Out;
  Out.Code_ = Code;
  Out.Text_ = std::move(Text) + "\n";
  Out.Json_["result"] = Result;
  return Out;
}

Outcome describe(const std::string &Name, const Published &Each) {
  std::string Text =
      Name + ": accepted as version " + std::to_string(Each.Version_.value());
  if (Each.Newest_ != Each.Version_)
    Text += ", replaced meanwhile by version " +
            std::to_string(Each.Newest_.value());
  Outcome Out = report(ExitCode::Done, "accepted", Text);
  Out.Json_["version"] = Each.Version_.value();
  Out.Json_["newest"] = Each.Newest_.value();
  return Out;
}

Outcome describe(const std::string &Name, const Unchanged &Each) {
  Outcome Out =
      report(ExitCode::Done, "unchanged",
             Name + ": version " + std::to_string(Each.Version_.value()) +
                 " is this document already");
  Out.Json_["version"] = Each.Version_.value();
  return Out;
}

Outcome describe(const std::string &Name, const VersionConflict &Each) {
  const std::string There =
      Each.Version_ == ConfigVersion(0)
          ? std::string("another version")
          : "version " + std::to_string(Each.Version_.value());
  Outcome Out =
      report(ExitCode::Conflict, "conflict",
             Name + ": conflict, " + There + " is there; nothing was written");
  Out.Json_["version"] = Each.Version_.value();
  return Out;
}

Outcome describe(const std::string &Name, const NotWritten &Each) {
  Outcome Out = report(ExitCode::Unreachable, "not_written",
                       Name + ": nothing was written: " + Each.Reason_);
  Out.Json_["reason"] = Each.Reason_;
  return Out;
}

Outcome describe(const std::string &Name, const Uncertain &Each) {
  Outcome Out = report(
      ExitCode::Uncertain, "uncertain",
      Name + ": the write may have taken effect or not: " + Each.Reason_);
  Out.Json_["reason"] = Each.Reason_;
  return Out;
}

} // namespace

Outcome internal::reportPublish(const std::string &Environment,
                                const PublishResult &Result) {
  Outcome Out = std::visit(
      [&Environment](const auto &Each) { return describe(Environment, Each); },
      Result);
  Out.Json_["environment"] = Environment;
  return Out;
}

std::string internal::makeToken() {
  std::random_device Source;
  char Out[17] = {};
  std::snprintf(Out, sizeof(Out), "%08x%08x", Source(), Source());
  return Out;
}

Outcome apply(const std::string &File, const Options &Asked) {
  Findings Found;
  const auto Read = readEnvironmentFile(File, Found);
  if (!Read)
    return internal::reportFindings(Found);
  Publication What{splitParts(*Read), Asked.Seen_, std::nullopt,
                   internal::makeToken()};
  return internal::reportPublish(
      Read->Name_, platform::publish(*Asked.Platform_, Read->Name_,
                                     std::move(What), Asked.Patience_));
}

} // namespace medlarmoor::ctl
