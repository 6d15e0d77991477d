#ifndef MEDLARMOOR_PLATFORM_INTERNAL_OUTBOX_HPP
#define MEDLARMOOR_PLATFORM_INTERNAL_OUTBOX_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/core/mailbox.hpp>

namespace medlarmoor::platform::internal {

/// Sends documents to the mailbox of one thread. While the mailbox is full,
/// only the newest document is kept for sending.
class Outbox {
public:
  explicit Outbox(Mailbox<config::ActiveConfigPtr> &Target)
      : Target_(&Target) {}

  void put(config::ActiveConfigPtr Document) {
    Pending_ = std::move(Document);
    flush();
  }

  /// Sends the pending document, if there is one and the mailbox has room.
  void flush() {
    if (Pending_ && Target_->push(Pending_))
      Pending_.reset();
  }

private:
  Mailbox<config::ActiveConfigPtr> *Target_;
  config::ActiveConfigPtr Pending_;
};

} // namespace medlarmoor::platform::internal

#endif // MEDLARMOOR_PLATFORM_INTERNAL_OUTBOX_HPP
