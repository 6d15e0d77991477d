#ifndef MEDLARMOOR_REQUEST_SUBMISSION_READER_HPP
#define MEDLARMOOR_REQUEST_SUBMISSION_READER_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/fwd.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/net/fwd.hpp>
#include <medlarmoor/request/submission.hpp>

#include <optional>

namespace medlarmoor::request {

/// Clocks of callers and entries differ by less than this.
inline constexpr Millis ClockBound{100};

/// Reads submissions out of HTTP requests and reports all that is wrong with
/// one together.
class SubmissionReader {
public:
  /// Home is the failure domain in which keys are minted for callers that
  /// sent none.
  SubmissionReader(DomainName Home, Clock Time, Random Source)
      : Home_(std::move(Home)), Time_(std::move(Time)), Source_(Source) {}

  /// The submission to Service, or nothing with findings in Out. The place of
  /// a finding is the name of the header.
  [[nodiscard]] std::optional<Submission> read(const net::HttpRequest &Request,
                                               const ServiceName &Service,
                                               const config::Environment &Known,
                                               Findings &Out);

private:
  void readKey(const net::HttpRequest &Request,
               const config::Environment &Known, Submission &Into,
               Findings &Out);
  void readDeadline(const net::HttpRequest &Request, Millis Longest,
                    Submission &Into, Findings &Out) const;

  DomainName Home_;
  Clock Time_;
  Random Source_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_SUBMISSION_READER_HPP
