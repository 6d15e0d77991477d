#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/request/key_parts.hpp>
#include <medlarmoor/request/submission_reader.hpp>

#include <algorithm>
#include <charconv>

namespace medlarmoor::request {

namespace {

const config::Service *findService(const config::Environment &Known,
                                   const ServiceName &Name) {
  for (const config::Service &Each : Known.Services_)
    if (Each.Name_ == Name)
      return &Each;
  return nullptr;
}

std::optional<std::int64_t> readNumber(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

Place at(std::string Header) { return {std::move(Header), 0, 0}; }

void readClass(const net::HttpRequest &Request, Submission &Into,
               Findings &Out) {
  const auto Text = Request.Headers_.find("Medlarmoor-Class");
  if (Text == "once")
    Into.Class_ = MethodClass::Once;
  else if (Text != "idempotent")
    Out.add(at("Medlarmoor-Class"),
            Text ? "unknown class '" + *Text + "'" : "missing",
            "send 'idempotent' or 'once'");
}

void readTry(const net::HttpRequest &Request, Submission &Into, Findings &Out) {
  const auto Text = Request.Headers_.find("Medlarmoor-Try");
  if (!Text)
    return;
  const auto Value = readNumber(*Text);
  if (Value && *Value >= 1 && *Value <= UINT32_MAX)
    Into.Try_ = static_cast<std::uint32_t>(*Value);
  else
    Out.add(at("Medlarmoor-Try"), "not a count from 1");
}

bool hasDomain(const config::Environment &Known, const DomainName &Name) {
  return std::any_of(
      Known.Domains_.begin(), Known.Domains_.end(),
      [&](const config::FailureDomain &Each) { return Each.Name_ == Name; });
}

} // namespace

void SubmissionReader::readKey(const net::HttpRequest &Request,
                               const config::Environment &Known,
                               Submission &Into, Findings &Out) {
  const auto Text = Request.Headers_.find("Idempotency-Key");
  const WallTime Now = Time_.wallNow();
  if (!Text) {
    if (Into.Class_ == MethodClass::Once)
      Out.add(at("Idempotency-Key"), "missing",
              "a request of class 'once' needs a key");
    Into.Key_ = mintKey(Home_, Now, Source_);
    Into.Minted_ = Now;
    return;
  }
  Into.Key_ = IdempotencyKey(*Text);
  const std::optional<KeyParts> Parts = parseKey(Into.Key_);
  if (!Parts)
    return Out.add(at("Idempotency-Key"), "malformed",
                   "{failure domain}-{unix milliseconds}-{random}");
  Into.Minted_ = Parts->Minted_;
  if (Parts->Domain_ != Home_ && !hasDomain(Known, Parts->Domain_))
    Out.add(at("Idempotency-Key"),
            "unknown failure domain '" + Parts->Domain_.value() + "'");
  if (Parts->Minted_ > Now + ClockBound)
    Out.add(at("Idempotency-Key"), "minted in the future",
            "check the caller's clock");
}

void SubmissionReader::readDeadline(const net::HttpRequest &Request,
                                    Millis Longest, Submission &Into,
                                    Findings &Out) const {
  const auto Text = Request.Headers_.find("Medlarmoor-Deadline-Ms");
  const auto Value = Text ? readNumber(*Text) : std::nullopt;
  if (!Value)
    return Out.add(at("Medlarmoor-Deadline-Ms"),
                   Text ? "not a number" : "missing",
                   "send the remaining time in milliseconds");
  if (*Value <= 0)
    return Out.add(at("Medlarmoor-Deadline-Ms"), "expired");
  if (*Value > Longest.count())
    return Out.add(at("Medlarmoor-Deadline-Ms"),
                   "over the longest deadline of " +
                       std::to_string(Longest.count()) + " ms");
  Into.Deadline_ = Time_.now() + Millis(*Value);
}

std::optional<Submission>
SubmissionReader::read(const net::HttpRequest &Request,
                       const ServiceName &Service,
                       const config::Environment &Known, Findings &Out) {
  Submission Into;
  Into.Service_ = Service;
  config::ServicePolicy Policy;
  if (const config::Service *Found = findService(Known, Service))
    Policy = Found->Policy_;
  else
    Out.add(at("service"), "unknown service '" + Service.value() + "'");
  readClass(Request, Into, Out);
  readTry(Request, Into, Out);
  readKey(Request, Known, Into, Out);
  readDeadline(Request, Policy.LongestDeadline_, Into, Out);
  if (Request.Body_.size() > Policy.BodyBytes_)
    Out.add(at("body"), "over the limit of " +
                            std::to_string(Policy.BodyBytes_) + " bytes");
  if (!Out.empty())
    return std::nullopt;
  return Into;
}

} // namespace medlarmoor::request
