#include "edge/buffer_budget.h"

#include <algorithm>

namespace goldcrest {

void BufferBudget::Add(Holder* holder) {
  holders_.push_back(holder);
}

void BufferBudget::Remove(Holder* holder) {
  std::erase(holders_, holder);
}

bool BufferBudget::Reserve(size_t bytes) {
  if (bytes > limit_) {
    return false;
  }
  while (used_ > limit_ - bytes) {
    const size_t before = used_;
    if (!MakeRoom() || used_ >= before) {
      return false;
    }
  }
  used_ += bytes;
  peak_ = std::max(peak_, used_);
  return true;
}

void BufferBudget::Release(size_t bytes) {
  used_ -= std::min(bytes, used_);
}

bool BufferBudget::MakeRoom() {
  Holder* heaviest = nullptr;
  uint64_t weight = 0;
  for (Holder* holder : holders_) {
    const uint64_t candidate = holder->HeaviestBuffer();
    if (candidate > weight) {
      heaviest = holder;
      weight = candidate;
    }
  }
  if (heaviest == nullptr) {
    return false;
  }
  heaviest->DropHeaviestBuffer();
  return true;
}

}  // namespace goldcrest
