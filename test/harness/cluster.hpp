#ifndef MEDLARMOOR_HARNESS_CLUSTER_HPP
#define MEDLARMOOR_HARNESS_CLUSTER_HPP

#include <harness/cluster_addresses.hpp>
#include <harness/cluster_options.hpp>
#include <harness/process.hpp>
#include <harness/temp_folder.hpp>
#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/config/settings.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// A whole system of real processes on a subnet of its own: the platform, the
/// upstreams of an example document, the fabric, callers, and entries. The
/// harness starts and ends each; nothing outlives the object.
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts all but the entries; false with lastReason().
  [[nodiscard]] bool start();

  /// Starts the entry of that number in a failure domain of the document, has
  /// the platform list it, and waits until it answers; false with
  /// lastReason(). Its name is "DOMAIN-NUMBER". Nobody sends to it before
  /// serve().
  [[nodiscard]] bool startEntry(std::uint8_t Number, std::uint8_t Domain = 0);
  /// Gives the entry to the fabric and the callers.
  void serve(const std::string &Name);
  /// Planned stop: the platform lists the entry as leaving, it gets SIGTERM,
  /// the fabric and callers learn of it, and it ends. Its exit code.
  std::optional<int> retireEntry(const std::string &Name);
  /// Begins a planned stop without waiting for its end.
  void beginRetiring(const std::string &Name);
  /// SIGKILL; the platform, fabric and callers are not told before the next
  /// publishEntries() or forgetEntry().
  void killEntry(const std::string &Name);
  /// Takes an ended entry from all lists.
  void forgetEntry(const std::string &Name);
  [[nodiscard]] Process &entry(const std::string &Name);
  /// Whether the entry's /readyz answers 200.
  [[nodiscard]] bool isReady(const std::string &Name) const;
  /// Waits until it does; false with lastReason().
  [[nodiscard]] bool waitReady(const std::string &Name, Millis Limit);
  [[nodiscard]] const config::Settings &settings(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> entryNames() const;
  /// Gives the fabric and the callers the entries that serve.
  void publishEntries();

  /// The document that apply() writes; change it in place.
  [[nodiscard]] config::Environment &document() noexcept { return Document_; }
  /// Has the document accepted through medlarmoorctl; false with its output
  /// in lastReason().
  [[nodiscard]] bool apply();
  /// Starts medlarmoorctl with the platform's address and these arguments.
  [[nodiscard]] Process startControl(std::vector<std::string> Arguments);
  /// Writes a document to a file of its own and returns its path.
  [[nodiscard]] std::string write(const config::Environment &Each);
  /// What `GET /status` of the entry answers, or null.
  [[nodiscard]] nlohmann::json status(const std::string &Name) const;
  /// The version that the entry acts on; 0 when it has none.
  [[nodiscard]] std::uint64_t version(const std::string &Name) const;
  /// The highest version in force anywhere.
  [[nodiscard]] std::uint64_t highestVersion() const;
  /// Waits until every entry that serves acts on Version or a higher one; the
  /// time it took, or nothing after Limit.
  [[nodiscard]] std::optional<Millis>
  waitInForce(std::uint64_t Version, Millis Limit = Seconds(10)) const;

  [[nodiscard]] const ClusterAddresses &addresses() const noexcept {
    return Addresses_;
  }
  [[nodiscard]] Endpoint callerHarness() const {
    return Addresses_.callerHarness(1);
  }
  /// Harness port of an upstream, or nothing for an unknown name.
  [[nodiscard]] std::optional<Endpoint>
  upstreamHarness(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> upstreamNames() const;
  [[nodiscard]] Process &platform() noexcept { return Platform_; }

  [[nodiscard]] TempFolder &folder() noexcept { return Folder_; }
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  struct Entry {
    config::Settings Settings_;
    Ipv4 Shown_;
    Process Process_;
    bool Serving_ = false;
  };

  bool loadDocument();
  bool startPlatform();
  bool startUpstreams();
  bool startFabricAndCaller();
  bool startProxy();
  /// Puts the proxy before one process when there is a proxy.
  bool proxyInstance(Ipv4 Place, const nlohmann::json &Tcp,
                     const nlohmann::json &Udp);
  bool launch(Process &Into, const std::string &Program,
              const std::vector<std::string> &Arguments, Endpoint Health,
              const std::string &Name);
  bool list(const Entry &Each, const char *State);
  [[nodiscard]] config::Settings entrySettings(std::uint8_t Number,
                                               std::uint8_t Domain) const;
  bool failed(std::string Why);
  [[nodiscard]] std::string logPath(const std::string &Name) const;

  ClusterOptions Options_;
  std::string Reason_;
  TempFolder Folder_;
  Subnet Subnet_;
  ClusterAddresses Addresses_;
  config::Environment Document_;
  std::map<std::string, Ipv4> UpstreamPlaces_;
  std::set<Ipv4> ProxiedPlaces_;
  std::uint64_t FilesWritten_ = 0;
  Process Platform_;
  Process Proxy_;
  Process Fabric_;
  Process Caller_;
  std::vector<Process> Upstreams_;
  std::map<std::string, Entry> Entries_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_CLUSTER_HPP
