#include "anvilcroft/carried_texts.h"

#include <set>
#include <utility>

namespace anvilcroft {

void CarriedTexts::AddIncompleteGroups(const OwnedJob& job, TimePoint now) {
  std::set<std::string> incomplete;
  for (const OwnedItem& item : job.items) {
    if (item.phase != ItemPhase::kFinished) incomplete.insert(item.item.group);
  }
  for (const OwnedItem& item : job.items) {
    if (item.item.group.empty() || incomplete.count(item.item.group) == 0) continue;
    if (this->bytes + item.text.data.size() > kMaxBytes) continue;
    Entry& entry = this->entries[{job.head.customer, item.item.id}];
    this->bytes -= entry.text.data.size();
    entry = Entry{item.text, now};
    this->bytes += entry.text.data.size();
  }
}

std::optional<ItemText> CarriedTexts::Extract(const std::string& customer,
                                              const std::string& item_id) {
  const auto found = this->entries.find({customer, item_id});
  if (found == this->entries.end()) return std::nullopt;
  ItemText text = std::move(found->second.text);
  this->bytes -= text.data.size();
  this->entries.erase(found);
  return text;
}

void CarriedTexts::Expire(TimePoint now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (now - it->second.added_at < kLifetime) {
      ++it;
      continue;
    }
    this->bytes -= it->second.text.data.size();
    it = this->entries.erase(it);
  }
}

}  // namespace anvilcroft
