#ifndef MEDLARMOOR_PLATFORM_INTERNAL_OUTBOX_HPP
#define MEDLARMOOR_PLATFORM_INTERNAL_OUTBOX_HPP

#include <medlarmoor/config/in_force.hpp>
#include <medlarmoor/core/mailbox.hpp>

namespace medlarmoor::platform::internal {

/// Gives documents to one thread. While its mailbox is full, only the newest
/// document waits.
class Outbox {
public:
  explicit Outbox(Mailbox<config::InForcePtr> &To) : To_(&To) {}

  void put(config::InForcePtr Document) {
    Waiting_ = std::move(Document);
    flush();
  }

  /// Tries again what did not fit.
  void flush() {
    if (Waiting_ && To_->push(Waiting_))
      Waiting_.reset();
  }

private:
  Mailbox<config::InForcePtr> *To_;
  config::InForcePtr Waiting_;
};

} // namespace medlarmoor::platform::internal

#endif // MEDLARMOOR_PLATFORM_INTERNAL_OUTBOX_HPP
