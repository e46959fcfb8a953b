#ifndef ANVILCROFT_CARRIED_TEXTS_H_
#define ANVILCROFT_CARRIED_TEXTS_H_

// Carries the texts of unfinished groups over to later jobs: holds the texts of items whose job
// ended before their group was complete. A later job that contains the same items can continue the
// texts if it allows the weight versions that generated them.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "anvilcroft/item_text.h"
#include "anvilcroft/owned_job.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class CarriedTexts {
 public:
  // Time for which a text is held. A trainer that still needs an item submits it again in its next
  // step, seconds later.
  static constexpr Duration kLifetime = seconds(60);
  static constexpr std::size_t kMaxBytes = 8 << 20;  // total size of the texts

  // Adds the items of the incomplete groups of a job that has ended. Leaves out items whose text
  // would bring the total above kMaxBytes.
  void AddIncompleteGroups(const OwnedJob& job, TimePoint now);

  // Removes and returns the text of an item of `customer`; the text is empty if none was generated.
  // Returns nullopt if the item is not held. Customers choose the ids of their items themselves, so
  // two customers may use the same one.
  std::optional<ItemText> Extract(const std::string& customer, const std::string& item_id);

  // Removes the texts that are older than kLifetime.
  void Expire(TimePoint now);

 private:
  struct Entry {
    ItemText text;
    TimePoint added_at;
  };

  std::map<std::pair<std::string, std::string>, Entry> entries;  // by customer and item
  std::size_t bytes = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CARRIED_TEXTS_H_
