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
constexpr std::size_t MinSlots = 64;

static_assert(std::is_trivially_copyable_v<FlowRecord>);

/// Allocates zeroed memory, in huge pages if the system has them: with small
/// pages, lookups miss the TLB.
FlowRecord *allocate(std::size_t Slots) {
  constexpr std::size_t HugePageBytes = 2U * 1024U * 1024U;
  constexpr std::size_t SmallAlignment = 64;
  const std::size_t Bytes = Slots * sizeof(FlowRecord);
  const std::size_t Alignment =
      Bytes >= HugePageBytes ? HugePageBytes : SmallAlignment;
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
    : Mask_(std::bit_ceil(std::max(MinSlots, Flows * 100 / LoadPercent + 1)) -
            1),
      Shift_(64U - static_cast<unsigned>(std::bit_width(Mask_))),
      Limit_((Mask_ + 1) * LoadPercent / 100), Slots_(allocate(Mask_ + 1)) {}

std::size_t FlowTable::slotOf(std::uint64_t Key) const noexcept {
  return (Key * 0x9E3779B97F4A7C15ULL) >> Shift_;
}

FlowRecord *FlowTable::find(FlowId Id) noexcept {
  const std::uint64_t Key = Id.key() | Used;
  for (std::size_t Slot = slotOf(Key);; Slot = (Slot + 1) & Mask_) {
    if (Slots_[Slot].Key_ == Key)
      return &Slots_[Slot];
    if (Slots_[Slot].Key_ == 0)
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
  std::size_t Slot = slotOf(Key);
  while (Slots_[Slot].Key_ != 0)
    Slot = (Slot + 1) & Mask_;
  ++Size_;
  Slots_[Slot] = FlowRecord();
  Slots_[Slot].Key_ = Key;
  return &Slots_[Slot];
}

void FlowTable::erase(FlowRecord *Record) noexcept {
  std::size_t Hole = static_cast<std::size_t>(Record - Slots_.get());
  for (std::size_t Slot = (Hole + 1) & Mask_; Slots_[Slot].Key_ != 0;
       Slot = (Slot + 1) & Mask_) {
    const std::size_t Preferred = slotOf(Slots_[Slot].Key_);
    const bool MayMove =
        ((Slot - Preferred) & Mask_) >= ((Slot - Hole) & Mask_);
    if (!MayMove)
      continue;
    Slots_[Hole] = Slots_[Slot];
    Hole = Slot;
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
