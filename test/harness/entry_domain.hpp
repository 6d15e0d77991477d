#ifndef MEDLARMOOR_HARNESS_ENTRY_DOMAIN_HPP
#define MEDLARMOOR_HARNESS_ENTRY_DOMAIN_HPP

#include <harness/process.hpp>
#include <harness/subnet.hpp>
#include <harness/temp_folder.hpp>

#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// A platform and entry daemons without doors, numbered from 1, of the failure
/// domain seeb on a subnet of their own.
class EntryDomain {
public:
  EntryDomain();

  [[nodiscard]] config::Settings settings(int I) const;
  [[nodiscard]] Ipv4 address(int I) const;
  /// Puts entry I on the platform's list.
  void list(int I) const;
  /// Starts entry I.
  [[nodiscard]] Process start(int I) const;

  /// What the admin port of entry I answers.
  [[nodiscard]] std::optional<net::HttpResponse>
  get(int I, const std::string &Target) const;
  /// The value of a metric without labels of entry I.
  [[nodiscard]] std::optional<double> metric(int I,
                                             const std::string &Name) const;
  /// The names of the live members that entry I sees.
  [[nodiscard]] std::vector<std::string> live(int I) const;
  /// Whether each of Who sees exactly Who as live.
  [[nodiscard]] bool agree(const std::vector<int> &Who) const;

  [[nodiscard]] TempFolder &folder() noexcept { return Folder_; }
  [[nodiscard]] Process &platform() noexcept { return Platform_; }

private:
  TempFolder Folder_;
  std::optional<Subnet> Subnet_ = Subnet::acquire();
  Endpoint Api_;
  Endpoint Harness_;
  Process Platform_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_ENTRY_DOMAIN_HPP
