#ifndef MEDLARMOOR_CORE_MAILBOX_HPP
#define MEDLARMOOR_CORE_MAILBOX_HPP

#include <medlarmoor/core/ring.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace medlarmoor {

/// A ring whose receiver can sleep: a push makes descriptor() readable. One
/// thread pushes, one thread pops.
template <typename T> class Mailbox {
public:
  explicit Mailbox(std::size_t Capacity)
      : Ring_(Capacity), Descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Mailbox() { close(Descriptor_); }
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Puts Value at the end and wakes the receiver; false when full.
  [[nodiscard]] bool push(T Value) {
    if (!Ring_.push(std::move(Value)))
      return false;
    const std::uint64_t One = 1;
    [[maybe_unused]] const ssize_t Written =
        write(Descriptor_, &One, sizeof(One));
    return true;
  }

  /// Takes the oldest value; nothing when empty.
  [[nodiscard]] std::optional<T> pop() { return Ring_.pop(); }

  /// Forgets earlier wake-ups; call it before popping until empty.
  void clearWake() noexcept {
    std::uint64_t Count = 0;
    [[maybe_unused]] const ssize_t Read =
        read(Descriptor_, &Count, sizeof(Count));
  }

  /// Readable while a wake-up is pending; for epoll or Asio.
  [[nodiscard]] int descriptor() const noexcept { return Descriptor_; }

private:
  Ring<T> Ring_;
  int Descriptor_;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_MAILBOX_HPP
