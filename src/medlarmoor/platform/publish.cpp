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
/// Maximum number of calls in flight, so that a large document does not
/// overload the platform.
constexpr std::size_t MaxCallsInFlight = 32;

/// Executes the steps of a Publisher against the platform and passes their
/// results back to it.
class PublishRun {
public:
  PublishRun(Endpoint Platform, const std::string &Environment,
             Publication Document, Millis Timeout)
      : Environment_(Environment),
        Platform_(Io_, Platform, Ipv4(), CallTimeout, Metrics_),
        Publisher_(std::move(Document), Clock(), Timeout) {}

  PublishResult run() {
    scheduleAll(Publisher_.start());
    while (!Result_)
      Io_.run_one();
    return *Result_;
  }

private:
  void scheduleAll(const PublisherSteps &Steps) {
    for (const PublisherStep &Step : Steps)
      schedule(Step);
    startPendingCalls();
  }

  /// Records that a call has ended, and schedules the steps that Process
  /// returns for its result.
  template <typename Function> void finish(const Function &Process) {
    --CallsInFlight_;
    PublisherSteps Ended;
    if (const auto Epoch = Platform_.epoch())
      Ended = Publisher_.onEpoch(*Epoch);
    scheduleAll(Ended.empty() ? Process() : Ended);
  }

  void schedule(const PublisherStep &Step) {
    if (Step.After_.count() == 0)
      return Pending_.push_back(Step.Action_);
    const auto Timer = std::make_shared<asio::steady_timer>(Io_, Step.After_);
    Timer->async_wait(
        [this, Timer, Action = Step.Action_](boost::system::error_code) {
          Pending_.push_back(Action);
          startPendingCalls();
        });
  }

  void startPendingCalls() {
    while (!Pending_.empty() && CallsInFlight_ < MaxCallsInFlight) {
      const PublisherAction Next = std::move(Pending_.front());
      Pending_.pop_front();
      ++CallsInFlight_;
      perform(Next);
    }
  }

  void perform(const PublisherAction &Action) {
    std::visit([this](const auto &Alternative) { execute(Alternative); },
               Action);
  }

  void execute(const ReadCurrentManifest &) {
    Platform_.get("manifest", Environment_, [this](GetResult Result) {
      finish([&] {
        return std::visit(
            Overloaded{
                [this](const Object &Read) {
                  return Publisher_.onManifest(Read.Version_, Read.Value_);
                },
                [this](const Absent &) { return Publisher_.onManifest(0, {}); },
                [this](const Unavailable &Error) {
                  return Publisher_.onManifestReadFailed(Error.Reason_);
                }},
            Result);
      });
    });
  }

  void execute(const ReadIndexPart &Action) {
    const PartId Id = Action.Id_;
    Platform_.get("part", objectName(Id), [this, Id](GetResult Result) {
      const Object *Read = std::get_if<Object>(&Result);
      finish([&] {
        return Publisher_.onIndexPart(Id, Read ? std::optional(Read->Value_)
                                               : std::nullopt);
      });
    });
  }

  void execute(const StorePart &Action) {
    const PartId Id = Action.Id_;
    Platform_.put(
        "part", objectName(Id), Action.Text_, 0, [this, Id](PutResult Result) {
          finish([&] {
            return std::visit(
                Overloaded{
                    [&](const Stored &) { return Publisher_.onPartStored(Id); },
                    [&](const Conflict &) {
                      return Publisher_.onPartStored(Id);
                    },
                    [&](const Refused &Error) {
                      return Publisher_.onRefused(Error.Reason_);
                    },
                    [&](const Unavailable &Error) {
                      return Publisher_.onPartUncertain(Id, Error.Reason_);
                    }},
                Result);
          });
        });
  }

  void execute(const StoreManifest &Action) {
    Platform_.put("manifest", Environment_, Action.Text_, Action.IfVersion_,
                  [this](PutResult Result) {
                    finish([&] {
                      return std::visit(
                          Overloaded{[this](const Stored &) {
                                       return Publisher_.onManifestStored();
                                     },
                                     [this](const Conflict &) {
                                       return Publisher_.onManifestConflict();
                                     },
                                     [this](const Refused &Error) {
                                       return Publisher_.onRefused(
                                           Error.Reason_);
                                     },
                                     [this](const Unavailable &) {
                                       return Publisher_.onManifestUncertain();
                                     }},
                          Result);
                    });
                  });
  }

  void execute(const PublishResult &Outcome) { Result_ = Outcome; }

  [[nodiscard]] std::string objectName(const PartId &Id) const {
    return Environment_ + "." + Id.value();
  }

  asio::io_context Io_;
  telemetry::Registry Metrics_;
  std::string Environment_;
  Client Platform_;
  Publisher Publisher_;
  std::deque<PublisherAction> Pending_;
  std::size_t CallsInFlight_ = 0;
  std::optional<PublishResult> Result_;
};

} // namespace

PublishResult publish(Endpoint Platform, const std::string &Environment,
                      Publication Document, Millis Timeout) {
  return PublishRun(Platform, Environment, std::move(Document), Timeout).run();
}

} // namespace medlarmoor::platform
