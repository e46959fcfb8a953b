#ifndef ANVILCROFT_CARRIED_TEXTS_H_
#define ANVILCROFT_CARRIED_TEXTS_H_

// Holds the texts of items whose job ended before their group was complete. A later job may contain
// the same items and can continue their texts if it allows the texts' weight versions.

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "anvilcroft/item_text.h"
#include "anvilcroft/owned_job.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class CarriedTexts {
 public:
  // A trainer that still needs an item submits it again in its next step, seconds later.
  static constexpr Duration kLifetime = seconds(60);
  static constexpr std::size_t kMaxBytes = 8 << 20;  // total size of the texts

  // Adds the items of the incomplete groups of a job that has ended. Leaves out items whose text
  // would bring the total above kMaxBytes.
  void AddIncompleteGroups(const OwnedJob& job, TimePoint now);

  // Removes and returns the text of an item, which is empty if none had been generated. nullopt: no
  // earlier job has left the item.
  std::optional<ItemText> Extract(const std::string& item_id);

  // Removes the texts that are older than kLifetime.
  void Expire(TimePoint now);

 private:
  struct Entry {
    ItemText text;
    TimePoint added_at;
  };

  std::map<std::string, Entry> entries;
  std::size_t bytes = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CARRIED_TEXTS_H_
