#ifndef MEDLARMOOR_CORE_RING_HPP
#define MEDLARMOOR_CORE_RING_HPP

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <optional>
#include <utility>

namespace medlarmoor {

/// A bounded queue from exactly one thread to exactly one other.
template <typename T> class Ring {
public:
  /// Capacity is the greatest number of values that wait at once.
  explicit Ring(std::size_t Capacity) : Queue_(Capacity) {}

  /// Puts Value at the end; false, and nothing changed, when the ring is full.
  [[nodiscard]] bool push(T Value) { return Queue_.push(std::move(Value)); }

  /// Takes the oldest value; nothing when the ring is empty.
  [[nodiscard]] std::optional<T> pop() {
    std::optional<T> Out;
    Queue_.consume_one([&Out](T &Value) { Out = std::move(Value); });
    return Out;
  }

private:
  boost::lockfree::spsc_queue<T> Queue_;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_RING_HPP
