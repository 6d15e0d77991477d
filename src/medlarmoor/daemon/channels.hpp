#ifndef MEDLARMOOR_DAEMON_CHANNELS_HPP
#define MEDLARMOOR_DAEMON_CHANNELS_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/mailbox.hpp>
#include <medlarmoor/membership/fwd.hpp>
#include <medlarmoor/wire/incoming.hpp>
#include <medlarmoor/wire/outgoing.hpp>

#include <cstddef>

namespace medlarmoor::daemon {

/// Snapshots that may wait for a thread.
inline constexpr std::size_t SnapshotsWaiting = 64;
/// Control messages that may wait for a thread.
inline constexpr std::size_t MessagesWaiting = 4096;

/// The bounded rings that join the threads of an entry. Each has one sending
/// and one receiving thread, named by the member: SenderToReceiver.
struct Channels {
  Mailbox<config::ActiveConfigPtr> ConfigToFlow_{SnapshotsWaiting};
  Mailbox<config::ActiveConfigPtr> ConfigToRequests_{SnapshotsWaiting};
  Mailbox<config::ActiveConfigPtr> ConfigToControl_{SnapshotsWaiting};

  Mailbox<membership::ViewPtr> ControlViewToFlow_{SnapshotsWaiting};
  Mailbox<membership::ViewPtr> ControlViewToRequests_{SnapshotsWaiting};
  Mailbox<membership::ViewPtr> ControlViewToConfig_{SnapshotsWaiting};

  Mailbox<wire::Outgoing> FlowToControl_{MessagesWaiting};
  Mailbox<wire::Outgoing> ConfigMessageToControl_{MessagesWaiting};

  Mailbox<wire::Incoming> ControlToFlow_{MessagesWaiting};
  Mailbox<wire::Incoming> ControlToConfig_{MessagesWaiting};
};

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_CHANNELS_HPP
