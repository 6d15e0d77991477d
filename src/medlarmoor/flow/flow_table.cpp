#include <medlarmoor/flow/flow_table.hpp>

#include <sys/mman.h>

#include <algorithm>
#include <bit>
#include <cstdlib>
#include <cstring>
#include <new>
#include <type_traits>

namespace medlarmoor::flow {

namespace {

constexpr std::uint64_t Used = 1ULL << 63U;
/// Share of the slots that may be in use, in percent.
constexpr std::size_t LoadPercent = 80;
constexpr std::size_t SmallestSlots = 64;

static_assert(std::is_trivially_copyable_v<FlowRecord>);

/// Zeroed memory, in large pages where the system has them: a look-up misses
/// the processor's address cache otherwise.
FlowRecord *allocate(std::size_t Slots) {
  constexpr std::size_t LargePage = 2U * 1024U * 1024U;
  constexpr std::size_t SmallAlignment = 64;
  const std::size_t Bytes = Slots * sizeof(FlowRecord);
  const std::size_t Alignment = Bytes >= LargePage ? LargePage : SmallAlignment;
  const std::size_t Rounded = (Bytes + Alignment - 1) / Alignment * Alignment;
  void *Memory = std::aligned_alloc(Alignment, Rounded);
  if (Memory == nullptr)
    throw std::bad_alloc();
  madvise(Memory, Rounded, MADV_HUGEPAGE);
  std::memset(Memory, 0, Rounded);
  return static_cast<FlowRecord *>(Memory);
}

} // namespace

void FlowTable::Deleter::operator()(FlowRecord *Memory) const noexcept {
  std::free(Memory);
}

FlowTable::FlowTable(std::size_t Flows)
    : Mask_(std::bit_ceil(
                std::max(SmallestSlots, Flows * 100 / LoadPercent + 1)) -
            1),
      Shift_(64U - static_cast<unsigned>(std::bit_width(Mask_))),
      Limit_((Mask_ + 1) * LoadPercent / 100), Slots_(allocate(Mask_ + 1)) {}

std::size_t FlowTable::slotOf(std::uint64_t Key) const noexcept {
  return (Key * 0x9E3779B97F4A7C15ULL) >> Shift_;
}

FlowRecord *FlowTable::find(FlowId Id) noexcept {
  const std::uint64_t Key = Id.key() | Used;
  for (std::size_t At = slotOf(Key);; At = (At + 1) & Mask_) {
    if (Slots_[At].Key_ == Key)
      return &Slots_[At];
    if (Slots_[At].Key_ == 0)
      return nullptr;
  }
}

void FlowTable::prefetch(FlowId Id) const noexcept {
  __builtin_prefetch(&Slots_[slotOf(Id.key() | Used)], 1);
}

FlowRecord *FlowTable::insert(FlowId Id) noexcept {
  if (Size_ >= Limit_)
    return nullptr;
  const std::uint64_t Key = Id.key() | Used;
  std::size_t At = slotOf(Key);
  while (Slots_[At].Key_ != 0)
    At = (At + 1) & Mask_;
  ++Size_;
  Slots_[At] = FlowRecord();
  Slots_[At].Key_ = Key;
  return &Slots_[At];
}

void FlowTable::erase(FlowRecord *Record) noexcept {
  std::size_t Hole = static_cast<std::size_t>(Record - Slots_.get());
  for (std::size_t At = (Hole + 1) & Mask_; Slots_[At].Key_ != 0;
       At = (At + 1) & Mask_) {
    const std::size_t Wanted = slotOf(Slots_[At].Key_);
    const bool MayMove = ((At - Wanted) & Mask_) >= ((At - Hole) & Mask_);
    if (!MayMove)
      continue;
    Slots_[Hole] = Slots_[At];
    Hole = At;
  }
  Slots_[Hole].Key_ = 0;
  --Size_;
}

void FlowTable::clear() noexcept {
  std::memset(static_cast<void *>(Slots_.get()), 0, bytes());
  Size_ = 0;
  Cursor_ = 0;
}

std::size_t FlowTable::bytes() const noexcept {
  return (Mask_ + 1) * sizeof(FlowRecord);
}

} // namespace medlarmoor::flow
