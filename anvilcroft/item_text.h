#ifndef ANVILCROFT_ITEM_TEXT_H_
#define ANVILCROFT_ITEM_TEXT_H_

// The text of a batch item as far as it has been generated.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace anvilcroft {

struct ItemText {
  int64_t events = 0;             // the number of the last one
  std::string data;               // of all events, separated by line feeds
  std::vector<int64_t> versions;  // weight versions that made an event, in order of first use
  int64_t last_version = 0;       // that made the last event
  bool complete = false;

  void Add(const std::string& event, int64_t version);

  friend bool operator==(const ItemText& a, const ItemText& b) {
    return std::tie(a.events, a.data, a.versions, a.last_version, a.complete) ==
           std::tie(b.events, b.data, b.versions, b.last_version, b.complete);
  }
  friend bool operator!=(const ItemText& a, const ItemText& b) { return !(a == b); }

  // Whether a job that allows versions from `min_version` on, and only one if `single`, can use it.
  bool VersionsAllowed(int64_t min_version, bool single) const;
};

// How many events are still to come, given the submitter's estimate of the whole and the number
// made so far. The estimate is right at the median and often far off, so an item that has outlived
// it is expected to go on for a share of what it has made. No estimate exceeds `most_events`, the
// bound that the submitter sets; 0: none.
double ExpectedEventsLeft(double expected_events, double most_events, int64_t made);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ITEM_TEXT_H_
