#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/request/key_parts.hpp>
#include <medlarmoor/request/submission_reader.hpp>

#include <algorithm>
#include <charconv>

namespace medlarmoor::request {

namespace {

const config::Service *findService(const config::Environment &Environment,
                                   const ServiceName &Name) {
  for (const config::Service &Candidate : Environment.Services_)
    if (Candidate.Name_ == Name)
      return &Candidate;
  return nullptr;
}

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

Place headerPlace(std::string Header) { return {std::move(Header), 0, 0}; }

void readClass(const net::HttpRequest &Request, Submission &Parsed,
               Findings &Errors) {
  const auto Text = Request.Headers_.find("Medlarmoor-Class");
  if (Text == "once")
    Parsed.Class_ = MethodClass::Once;
  else if (Text != "idempotent")
    Errors.add(headerPlace("Medlarmoor-Class"),
               Text ? "unknown class '" + *Text + "'" : "missing",
               "send 'idempotent' or 'once'");
}

void readTry(const net::HttpRequest &Request, Submission &Parsed,
             Findings &Errors) {
  const auto Text = Request.Headers_.find("Medlarmoor-Try");
  if (!Text)
    return;
  const auto Value = parseNumber(*Text);
  if (Value && *Value >= 1 && *Value <= UINT32_MAX)
    Parsed.Try_ = static_cast<std::uint32_t>(*Value);
  else
    Errors.add(headerPlace("Medlarmoor-Try"), "not a count from 1");
}

bool hasDomain(const config::Environment &Environment, const DomainName &Name) {
  return std::any_of(Environment.Domains_.begin(), Environment.Domains_.end(),
                     [&](const config::FailureDomain &Candidate) {
                       return Candidate.Name_ == Name;
                     });
}

} // namespace

void SubmissionReader::readKey(const net::HttpRequest &Request,
                               const config::Environment &Environment,
                               Submission &Parsed, Findings &Errors) {
  const auto Text = Request.Headers_.find("Idempotency-Key");
  const WallTime Now = Time_.wallNow();
  if (!Text) {
    if (Parsed.Class_ == MethodClass::Once)
      Errors.add(headerPlace("Idempotency-Key"), "missing",
                 "a request of class 'once' needs a key");
    Parsed.Key_ = mintKey(Domain_, Now, Random_);
    Parsed.Minted_ = Now;
    return;
  }
  Parsed.Key_ = IdempotencyKey(*Text);
  const std::optional<KeyParts> Parts = parseKey(Parsed.Key_);
  if (!Parts)
    return Errors.add(headerPlace("Idempotency-Key"), "malformed",
                      "{failure domain}-{unix milliseconds}-{random}");
  Parsed.Minted_ = Parts->Minted_;
  if (Parts->Domain_ != Domain_ && !hasDomain(Environment, Parts->Domain_))
    Errors.add(headerPlace("Idempotency-Key"),
               "unknown failure domain '" + Parts->Domain_.value() + "'");
  if (Parts->Minted_ > Now + MaxClockSkew)
    Errors.add(headerPlace("Idempotency-Key"), "minted in the future",
               "check the caller's clock");
}

void SubmissionReader::readDeadline(const net::HttpRequest &Request,
                                    Millis LongestDeadline, Submission &Parsed,
                                    Findings &Errors) const {
  const auto Text = Request.Headers_.find("Medlarmoor-Deadline-Ms");
  const auto Value = Text ? parseNumber(*Text) : std::nullopt;
  if (!Value)
    return Errors.add(headerPlace("Medlarmoor-Deadline-Ms"),
                      Text ? "not a number" : "missing",
                      "send the remaining time in milliseconds");
  if (*Value <= 0)
    return Errors.add(headerPlace("Medlarmoor-Deadline-Ms"), "expired");
  if (*Value > LongestDeadline.count())
    return Errors.add(headerPlace("Medlarmoor-Deadline-Ms"),
                      "over the longest deadline of " +
                          std::to_string(LongestDeadline.count()) + " ms");
  Parsed.Deadline_ = Time_.now() + Millis(*Value);
}

std::optional<Submission> SubmissionReader::read(
    const net::HttpRequest &Request, const ServiceName &Service,
    const config::Environment &Environment, Findings &Errors) {
  Submission Parsed;
  Parsed.Service_ = Service;
  config::ServicePolicy Policy;
  if (const config::Service *Found = findService(Environment, Service))
    Policy = Found->Policy_;
  else
    Errors.add(headerPlace("service"),
               "unknown service '" + Service.value() + "'");
  readClass(Request, Parsed, Errors);
  readTry(Request, Parsed, Errors);
  readKey(Request, Environment, Parsed, Errors);
  readDeadline(Request, Policy.LongestDeadline_, Parsed, Errors);
  if (Request.Body_.size() > Policy.MaxBodyBytes_)
    Errors.add(headerPlace("body"), "over the limit of " +
                                        std::to_string(Policy.MaxBodyBytes_) +
                                        " bytes");
  if (!Errors.empty())
    return std::nullopt;
  return Parsed;
}

} // namespace medlarmoor::request
