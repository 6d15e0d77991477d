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

/// Upper bound of the difference between clocks of callers and entries.
inline constexpr Millis MaxClockSkew{100};

/// Parses submissions from HTTP requests and reports all findings about one
/// request together.
class SubmissionReader {
public:
  /// Domain is the failure domain of keys that are minted for callers that sent
  /// none.
  SubmissionReader(DomainName Domain, Clock Time, Random Generator)
      : Domain_(std::move(Domain)), Time_(std::move(Time)), Random_(Generator) {
  }

  /// Returns the submission to Service, or nothing and adds findings to
  /// Errors. The place of a finding is the name of the header, "service" or
  /// "body".
  [[nodiscard]] std::optional<Submission>
  read(const net::HttpRequest &Request, const ServiceName &Service,
       const config::Environment &Environment, Findings &Errors);

private:
  void readKey(const net::HttpRequest &Request,
               const config::Environment &Environment, Submission &Parsed,
               Findings &Errors);
  void readDeadline(const net::HttpRequest &Request, Millis LongestDeadline,
                    Submission &Parsed, Findings &Errors) const;

  DomainName Domain_;
  Clock Time_;
  Random Random_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_SUBMISSION_READER_HPP
