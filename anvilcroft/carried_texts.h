#ifndef ANVILCROFT_CARRIED_TEXTS_H_
#define ANVILCROFT_CARRIED_TEXTS_H_

// Texts of items whose job ended before their group was complete. The same items may come again in
// a later job, which can go on from the text if its weight versions fit.

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
  // A trainer that still wants an item asks for it in its next step, seconds later.
  static constexpr Duration kLifetime = seconds(60);
  static constexpr std::size_t kMaxBytes = 8 << 20;  // of texts

  // Keeps the items of incomplete groups of a job that has ended.
  void AddIncompleteGroups(const OwnedJob& job, TimePoint now);

  // The text of an item, and whether the item was part of an earlier job at all.
  // nullopt: it was not.
  std::optional<ItemText> Extract(const std::string& item_id);

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
