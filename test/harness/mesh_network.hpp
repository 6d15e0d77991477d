#ifndef MEDLARMOOR_HARNESS_MESH_NETWORK_HPP
#define MEDLARMOOR_HARNESS_MESH_NETWORK_HPP

#include <medlarmoor/core/manual_clock.hpp>
#include <medlarmoor/membership/mesh.hpp>
#include <medlarmoor/wire/sealer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace medlarmoor::harness {

/// Meshes of one failure domain in one thread, joined by signed and encoded
/// datagrams on a manual clock.
class MeshNetwork {
public:
  /// What one member has sent, received and used.
  struct Usage {
    /// With 28 bytes of IP and UDP header a datagram.
    std::uint64_t BytesOut_ = 0;
    std::uint64_t BytesIn_ = 0;
    std::uint64_t ListReads_ = 0;
    std::uint64_t Views_ = 0;
    /// Processor time of its decisions, seals and codec.
    Nanos Processor_{0};
  };

  explicit MeshNetwork(std::uint64_t Seed,
                       config::MembershipSettings Timing = {});

  /// Starts a member and puts it on the list of instances. Its settings name
  /// the neighbours.
  std::size_t add(const std::string &Name,
                  std::vector<membership::ListedInstance> Neighbours = {});
  [[nodiscard]] Ipv4 address(std::size_t I) const { return Nodes_[I].Address_; }
  /// Starts a new run under the name and address of member I.
  void replace(std::size_t I);
  /// The process of member I ends without a word.
  void kill(std::size_t I);
  /// Member I does not run until wake(); what is sent to it waits.
  void pause(std::size_t I);
  void wake(std::size_t I);
  /// The platform answers to list reads, or not.
  void setPlatform(bool Answers) { PlatformAnswers_ = Answers; }
  /// Takes the name of member I off the list, without a change to the member.
  void unlist(std::size_t I);
  /// Messages from one member to another for which this is true are lost.
  void setLoss(std::function<bool(std::size_t, std::size_t)> Lost) {
    Lost_ = std::move(Lost);
  }

  /// Lets time pass, with a tick for each member every TickPeriod.
  void run(Nanos Period);
  /// Runs until Condition holds; false when it does not within Limit.
  [[nodiscard]] bool runUntil(const std::function<bool()> &Condition,
                              Nanos Limit);

  [[nodiscard]] membership::Mesh &mesh(std::size_t I) {
    return *Nodes_[I].Mesh_;
  }
  [[nodiscard]] const Usage &usage(std::size_t I) const {
    return Nodes_[I].Usage_;
  }
  [[nodiscard]] std::size_t size() const noexcept { return Nodes_.size(); }
  [[nodiscard]] ManualClock &clock() noexcept { return *Time_; }
  /// Whether all that run and are live see the same Members.
  [[nodiscard]] bool converged(std::size_t Members) const;
  /// Whether member I sees member J in its view.
  [[nodiscard]] bool sees(std::size_t I, std::size_t J) const;
  /// Called with each view that a member publishes.
  std::function<void(std::size_t, const membership::View &)> OnView_;

  void perform(std::size_t I, const membership::Actions &Asked);

private:
  struct Node {
    EntryName Name_;
    Ipv4 Address_;
    std::vector<membership::ListedInstance> Neighbours_;
    std::unique_ptr<membership::Mesh> Mesh_;
    std::unique_ptr<wire::Sealer> Sealer_;
    bool Runs_ = true;
    bool Killed_ = false;
    std::vector<std::vector<std::byte>> Waiting_;
    Usage Usage_;
  };
  struct Flight {
    TimePoint Arrives_;
    std::uint64_t Order_ = 0;
    std::size_t To_ = 0;
    std::shared_ptr<const std::vector<std::byte>> Bytes_;

    friend bool operator>(const Flight &A, const Flight &B) {
      return A.Arrives_ != B.Arrives_ ? A.Arrives_ > B.Arrives_
                                      : A.Order_ > B.Order_;
    }
  };

  void start(Node &Each);
  void deliver(std::size_t I, const std::vector<std::byte> &Bytes);
  void send(std::size_t I, const membership::Send &Each);

  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  config::MembershipSettings Timing_;
  Random Source_;
  std::vector<Node> Nodes_;
  std::map<Ipv4, std::size_t> ByAddress_;
  std::vector<membership::ListedInstance> List_;
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> Flights_;
  std::function<bool(std::size_t, std::size_t)> Lost_;
  std::uint64_t Order_ = 0;
  bool PlatformAnswers_ = true;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_MESH_NETWORK_HPP
