#ifndef MEDLARMOOR_MEMBERSHIP_CONTROL_MAILBOXES_HPP
#define MEDLARMOOR_MEMBERSHIP_CONTROL_MAILBOXES_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/mailbox.hpp>
#include <medlarmoor/membership/fwd.hpp>
#include <medlarmoor/wire/incoming.hpp>
#include <medlarmoor/wire/outgoing.hpp>

namespace medlarmoor::membership {

/// The mailboxes between the control thread and the other threads.
struct ControlMailboxes {
  Mailbox<config::ActiveConfigPtr> &FromConfig_;
  Mailbox<wire::Outgoing> &FromFlow_;
  Mailbox<wire::Outgoing> &ConfigMessages_;
  Mailbox<ViewPtr> &ViewsToFlow_;
  Mailbox<ViewPtr> &ViewsToRequests_;
  Mailbox<ViewPtr> &ViewsToConfig_;
  Mailbox<wire::Incoming> &ToFlow_;
  Mailbox<wire::Incoming> &ToConfig_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_CONTROL_MAILBOXES_HPP
