#include <harness/mesh_network.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/wire/incarnation.hpp>

#include <algorithm>
#include <ctime>

namespace medlarmoor::harness {

using namespace membership;

namespace {

constexpr std::uint32_t FirstAddress = 0x7F000001;
constexpr std::uint64_t HeaderBytes = 28;
/// Of one instance in the platform's answer.
constexpr std::uint64_t ListedBytes = 90;
constexpr std::uint64_t ShortestDelayUs = 200;
constexpr std::uint64_t DelaySpreadUs = 2000;

Nanos processorTime() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return Seconds(Now.tv_sec) + Nanos(Now.tv_nsec);
}

/// Adds the processor time of a scope to a sum.
class Metered {
public:
  explicit Metered(Nanos &Sum) : Sum_(Sum), Start_(processorTime()) {}
  ~Metered() { Sum_ += processorTime() - Start_; }
  Metered(const Metered &) = delete;
  Metered &operator=(const Metered &) = delete;

private:
  Nanos &Sum_;
  Nanos Start_;
};

} // namespace

MeshNetwork::MeshNetwork(std::uint64_t Seed, config::MembershipSettings Timing)
    : Timing_(Timing), Source_(Seed) {}

std::size_t MeshNetwork::add(const std::string &Name,
                             std::vector<ListedInstance> Neighbours) {
  const std::size_t I = Nodes_.size();
  const Ipv4 Address(FirstAddress + static_cast<std::uint32_t>(I));
  Nodes_.emplace_back();
  Nodes_.back().Name_ = EntryName(Name);
  Nodes_.back().Address_ = Address;
  Nodes_.back().Neighbours_ = std::move(Neighbours);
  ByAddress_[Address] = I;
  List_.push_back({EntryName(Name), Address});
  start(Nodes_.back());
  return I;
}

void MeshNetwork::start(Node &Each) {
  const Clock Now(Time_);
  const Incarnation Run = wire::drawIncarnation(Now.wallNow(), Source_);
  const config::SharedKey Key{1, std::vector<std::byte>(32, std::byte{1})};
  Each.Mesh_ = std::make_unique<Mesh>(Each.Name_, Each.Address_, Timing_, Run,
                                      Now, Random(Source_()), Each.Neighbours_);
  Each.Sealer_ = std::make_unique<wire::Sealer>(Each.Name_, Run,
                                                wire::KeyRing({Key}), Now);
  Each.Runs_ = true;
  Each.Killed_ = false;
  Each.Waiting_.clear();
}

void MeshNetwork::replace(std::size_t I) { start(Nodes_[I]); }

void MeshNetwork::kill(std::size_t I) {
  Nodes_[I].Runs_ = false;
  Nodes_[I].Killed_ = true;
}

void MeshNetwork::pause(std::size_t I) { Nodes_[I].Runs_ = false; }

void MeshNetwork::wake(std::size_t I) {
  Node &Each = Nodes_[I];
  Each.Runs_ = true;
  const auto Waiting = std::exchange(Each.Waiting_, {});
  for (const auto &Bytes : Waiting)
    deliver(I, Bytes);
}

void MeshNetwork::unlist(std::size_t I) {
  std::erase_if(List_, [&](const ListedInstance &Each) {
    return Each.Name_ == Nodes_[I].Name_;
  });
}

void MeshNetwork::run(Nanos Period) {
  const TimePoint End = Time_->now() + Period;
  while (Time_->now() < End) {
    const TimePoint Next = Time_->now() + TickPeriod;
    while (!Flights_.empty() && Flights_.top().Arrives_ <= Next) {
      const Flight Each = Flights_.top();
      Flights_.pop();
      Time_->advance(std::max(Nanos(0), Each.Arrives_ - Time_->now()));
      Node &To = Nodes_[Each.To_];
      if (To.Runs_)
        deliver(Each.To_, *Each.Bytes_);
      else if (!To.Killed_)
        To.Waiting_.push_back(*Each.Bytes_);
    }
    Time_->advance(Next - Time_->now());
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      if (!Nodes_[I].Runs_)
        continue;
      Actions Asked;
      {
        const Metered Scope(Nodes_[I].Usage_.Processor_);
        Asked = Nodes_[I].Mesh_->tick();
      }
      perform(I, Asked);
    }
  }
}

bool MeshNetwork::runUntil(const std::function<bool()> &Condition,
                           Nanos Limit) {
  const TimePoint End = Time_->now() + Limit;
  while (!Condition()) {
    if (Time_->now() >= End)
      return false;
    run(TickPeriod);
  }
  return true;
}

bool MeshNetwork::converged(std::size_t Members) const {
  std::optional<ViewId> Common;
  for (const Node &Each : Nodes_) {
    if (!Each.Runs_ || Each.Mesh_->state() == EntryState::Stopped)
      continue;
    const View &Seen = *Each.Mesh_->view();
    if (Seen.members().size() != Members)
      return false;
    if (Common && Seen.id() != *Common)
      return false;
    Common = Seen.id();
  }
  return true;
}

bool MeshNetwork::sees(std::size_t I, std::size_t J) const {
  return Nodes_[I].Mesh_->view()->find(Nodes_[J].Name_) != nullptr;
}

void MeshNetwork::perform(std::size_t I, const Actions &Asked) {
  for (const Action &Each : Asked)
    std::visit(Overloaded{[&](const Send &What) { send(I, What); },
                          [&](const Publish &What) {
                            ++Nodes_[I].Usage_.Views_;
                            if (OnView_)
                              OnView_(I, *What.View_);
                          },
                          [&](const ReadList &) {
                            ++Nodes_[I].Usage_.ListReads_;
                            Nodes_[I].Usage_.BytesIn_ +=
                                ListedBytes * List_.size();
                            const auto Answer = PlatformAnswers_
                                                    ? std::optional(List_)
                                                    : std::nullopt;
                            perform(I, Nodes_[I].Mesh_->onList(Answer));
                          },
                          [&](const ChangeIncarnation &What) {
                            Nodes_[I].Sealer_->setIncarnation(What.Run_);
                            Nodes_[I].Waiting_.clear();
                          }},
               Each);
}

void MeshNetwork::send(std::size_t I, const Send &Each) {
  Node &From = Nodes_[I];
  const Metered Scope(From.Usage_.Processor_);
  const auto Bytes = std::make_shared<const std::vector<std::byte>>(
      From.Sealer_->seal(Each.Message_));
  for (const Ipv4 To : Each.To_) {
    From.Usage_.BytesOut_ += Bytes->size() + HeaderBytes;
    const auto At = ByAddress_.find(To);
    if (At == ByAddress_.end() || (Lost_ && Lost_(I, At->second)))
      continue;
    const Micros Delay(ShortestDelayUs + Source_() % DelaySpreadUs);
    Flights_.push({Time_->now() + Delay, Order_++, At->second, Bytes});
  }
}

void MeshNetwork::deliver(std::size_t I, const std::vector<std::byte> &Bytes) {
  Node &To = Nodes_[I];
  To.Usage_.BytesIn_ += Bytes.size() + HeaderBytes;
  Actions Asked;
  {
    const Metered Scope(To.Usage_.Processor_);
    if (const auto Opened = To.Sealer_->open(Bytes))
      Asked = To.Mesh_->onMessage(*Opened);
    else if (To.Sealer_->lastReason() == "incarnation")
      Asked = To.Mesh_->onStaleRun(To.Sealer_->staleSender());
  }
  perform(I, Asked);
}

} // namespace medlarmoor::harness
