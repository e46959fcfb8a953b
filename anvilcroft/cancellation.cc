#include "anvilcroft/cancellation.h"

#include <utility>

namespace anvilcroft {

void Cancellation::Cancel() {
  if (this->cancelled) return;
  this->cancelled = true;
  // Iterates over a copy, since a hook may unregister others.
  const std::list<Hook> to_run = *this->hooks;
  for (const Hook& hook : to_run) hook();
}

std::shared_ptr<void> Cancellation::OnCancel(Hook hook) {
  if (this->cancelled) {
    hook();
    return nullptr;
  }
  this->hooks->push_back(std::move(hook));
  const auto position = std::prev(this->hooks->end());
  const std::weak_ptr<std::list<Hook>> weak = this->hooks;
  return std::shared_ptr<void>(nullptr, [weak, position](void*) {
    if (const auto hooks = weak.lock()) hooks->erase(position);
  });
}

}  // namespace anvilcroft
