#ifndef ANVILCROFT_BATCH_JOB_H_
#define ANVILCROFT_BATCH_JOB_H_

// A batch job: a set of generation requests that is submitted at once and run later, and its
// results.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// The request to the target that scores a finished text.
struct ScoreRequest {
  std::string id;
  std::string host;
  std::string path;
  std::string body;

  friend bool operator==(const ScoreRequest& a, const ScoreRequest& b) {
    return std::tie(a.id, a.host, a.path, a.body) == std::tie(b.id, b.host, b.path, b.body);
  }
  friend bool operator!=(const ScoreRequest& a, const ScoreRequest& b) { return !(a == b); }
};

struct BatchItem {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  int64_t tokens = 0;          // prompt tokens plus maximum number of output tokens
  std::string group;           // items of a group share their prompt; empty: none
  double expected_tokens = 0;  // the submitter's estimate of the output tokens; 0: none
  double max_output_tokens = 0;
  std::optional<ScoreRequest> score;

  friend bool operator==(const BatchItem& a, const BatchItem& b) {
    return std::tie(a.id, a.path, a.headers, a.body, a.tokens, a.group, a.expected_tokens,
                    a.max_output_tokens, a.score) == std::tie(b.id, b.path, b.headers, b.body,
                                                              b.tokens, b.group, b.expected_tokens,
                                                              b.max_output_tokens, b.score);
  }
  friend bool operator!=(const BatchItem& a, const BatchItem& b) { return !(a == b); }
};

// Properties of a job that are stored apart from its items.
struct BatchHead {
  std::string id;
  std::string host;
  std::string path;  // the path that it was submitted to
  std::string model;
  int64_t step = -1;          // number of the training step; -1: not a training step
  int64_t min_version = 0;    // oldest weight version that may generate a text
  int64_t target_groups = 0;  // complete groups that the trainer waits for; 0: all
  int64_t total = 0;          // number of items
  StoreMillis submitted_at = 0;
  bool ended = false;
  std::string customer;  // that submitted the job; empty: none

  friend bool operator==(const BatchHead& a, const BatchHead& b) {
    return std::tie(a.id, a.host, a.path, a.model, a.step, a.min_version, a.target_groups, a.total,
                    a.submitted_at, a.ended, a.customer) ==
           std::tie(b.id, b.host, b.path, b.model, b.step, b.min_version, b.target_groups, b.total,
                    b.submitted_at, b.ended, b.customer);
  }
  friend bool operator!=(const BatchHead& a, const BatchHead& b) { return !(a == b); }
};

struct BatchJob {
  BatchHead head;
  std::vector<BatchItem> items;

  friend bool operator==(const BatchJob& a, const BatchJob& b) {
    return a.head == b.head && a.items == b.items;
  }
  friend bool operator!=(const BatchJob& a, const BatchJob& b) { return !(a == b); }
};

struct ItemResult {
  std::string item_id;
  bool completed = false;         // false: the item expired
  std::string text;               // data of all events, separated by line feeds
  std::vector<int64_t> versions;  // weight versions that generated at least one event
  std::string score;              // signature in the scoring target's answer

  friend bool operator==(const ItemResult& a, const ItemResult& b) {
    return std::tie(a.item_id, a.completed, a.text, a.versions, a.score) ==
           std::tie(b.item_id, b.completed, b.text, b.versions, b.score);
  }
  friend bool operator!=(const ItemResult& a, const ItemResult& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_JOB_H_
