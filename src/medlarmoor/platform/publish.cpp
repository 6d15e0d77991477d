#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/platform/client.hpp>
#include <medlarmoor/platform/publish.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace medlarmoor::platform {

using namespace config;
namespace asio = boost::asio;

namespace {

constexpr Millis CallTimeout{2000};
/// Calls to the platform at once, so that a large document does not flood it.
constexpr std::size_t CallsAtOnce = 32;

/// Carries the steps of a publisher to the platform and the results back.
class PublishRun {
public:
  PublishRun(Endpoint Platform, const std::string &Environment,
             Publication What, Millis Patience)
      : Environment_(Environment),
        Platform_(Io_, Platform, Ipv4(), CallTimeout, Metrics_),
        Publisher_(std::move(What), Clock(), Patience) {}

  PublishResult run() {
    take(Publisher_.start());
    while (!Result_)
      Io_.run_one();
    return *Result_;
  }

private:
  void take(const PublisherSteps &Steps) {
    for (const PublisherStep &Each : Steps)
      schedule(Each);
    beginWaiting();
  }

  /// A call has ended; Steps is what follows from it.
  void finish(const PublisherSteps &Steps) {
    --Calls_;
    take(Steps);
  }

  void schedule(const PublisherStep &Each) {
    if (Each.After_.count() == 0)
      return Waiting_.push_back(Each.Action_);
    const auto Timer = std::make_shared<asio::steady_timer>(Io_, Each.After_);
    Timer->async_wait(
        [this, Timer, Action = Each.Action_](boost::system::error_code) {
          Waiting_.push_back(Action);
          beginWaiting();
        });
  }

  void beginWaiting() {
    while (!Waiting_.empty() && Calls_ < CallsAtOnce) {
      const PublisherAction Next = std::move(Waiting_.front());
      Waiting_.pop_front();
      ++Calls_;
      perform(Next);
    }
  }

  void perform(const PublisherAction &Action) {
    std::visit([this](const auto &Each) { begin(Each); }, Action);
  }

  void begin(const ReadPublished &) {
    Platform_.get("manifest", Environment_, [this](GetResult In) {
      finish(std::visit(
          Overloaded{
              [this](const Object &Read) {
                return Publisher_.onManifest(Read.Version_, Read.Value_);
              },
              [this](const Absent &) { return Publisher_.onManifest(0, {}); },
              [this](const Unavailable &Why) {
                return Publisher_.onManifestUnread(Why.Reason_);
              }},
          In));
    });
  }

  void begin(const ReadIndexPart &Each) {
    const PartId Id = Each.Id_;
    Platform_.get("part", objectName(Id), [this, Id](GetResult In) {
      const Object *Read = std::get_if<Object>(&In);
      finish(Publisher_.onIndexPart(Id, Read ? std::optional(Read->Value_)
                                             : std::nullopt));
    });
  }

  void begin(const StorePart &Each) {
    const PartId Id = Each.Id_;
    Platform_.put(
        "part", objectName(Id), Each.Text_, 0, [this, Id](PutResult In) {
          finish(std::visit(
              Overloaded{
                  [&](const Stored &) { return Publisher_.onPartStored(Id); },
                  [&](const Conflict &) { return Publisher_.onPartStored(Id); },
                  [&](const Refused &Why) {
                    return Publisher_.onRefused(Why.Reason_);
                  },
                  [&](const Unavailable &Why) {
                    return Publisher_.onPartLost(Id, Why.Reason_);
                  }},
              In));
        });
  }

  void begin(const StoreManifest &Each) {
    Platform_.put("manifest", Environment_, Each.Text_, Each.IfVersion_,
                  [this](PutResult In) {
                    finish(std::visit(
                        Overloaded{[this](const Stored &) {
                                     return Publisher_.onManifestStored();
                                   },
                                   [this](const Conflict &) {
                                     return Publisher_.onManifestConflict();
                                   },
                                   [this](const Refused &Why) {
                                     return Publisher_.onRefused(Why.Reason_);
                                   },
                                   [this](const Unavailable &) {
                                     return Publisher_.onManifestLost();
                                   }},
                        In));
                  });
  }

  void begin(const PublishResult &Each) { Result_ = Each; }

  [[nodiscard]] std::string objectName(const PartId &Id) const {
    return Environment_ + "." + Id.value();
  }

  asio::io_context Io_;
  telemetry::Registry Metrics_;
  std::string Environment_;
  Client Platform_;
  Publisher Publisher_;
  std::deque<PublisherAction> Waiting_;
  std::size_t Calls_ = 0;
  std::optional<PublishResult> Result_;
};

} // namespace

PublishResult publish(Endpoint Platform, const std::string &Environment,
                      Publication What, Millis Patience) {
  return PublishRun(Platform, Environment, std::move(What), Patience).run();
}

} // namespace medlarmoor::platform
