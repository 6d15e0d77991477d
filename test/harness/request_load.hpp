#ifndef MEDLARMOOR_HARNESS_REQUEST_LOAD_HPP
#define MEDLARMOOR_HARNESS_REQUEST_LOAD_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <string>
#include <vector>

namespace medlarmoor::harness {

/// What a caller is asked to do with requests.
struct RequestLoad {
  /// Names of services; each request takes one by seed.
  std::vector<std::string> Services_;
  /// Request doors of the entries; each call takes one by seed.
  std::vector<Endpoint> Entries_;
  /// Failure domain that the keys name as their home.
  std::string Domain_ = "seeb";
  /// New requests a second, at random moments.
  double Rate_ = 0;
  /// Share of requests that must run at most once.
  double OnceShare_ = 0.5;
  Millis Deadline_ = Seconds(2);
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_REQUEST_LOAD_HPP
