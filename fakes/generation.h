#ifndef FAKES_GENERATION_H_
#define FAKES_GENERATION_H_

// One generation request in a fake engine. It is shared by the batch that produces its tokens and
// the task that sends them.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/time.h"
#include "anvilcroft/weight_span.h"
#include "anvilcroft/work_request.h"
#include "fakes/expected_text.h"
#include "fakes/prefix_cache.h"

namespace anvilcroft::fakes {

class Generation {
 public:
  enum class State { kWaiting, kRunning, kFinished, kCancelled, kAborted };

  // `resumed_tokens`: the number of leading tokens that the caller already has.
  Generation(std::string request_id, const std::string& prompt, int64_t max_tokens,
             int64_t resumed_tokens, Priority priority)
      : request_id(std::move(request_id)),
        answer(prompt),
        blocks(PrefixCache::BlocksOf(prompt)),
        prompt_tokens(PromptTokens(prompt)),
        max_tokens(max_tokens),
        resumed_tokens(resumed_tokens),
        priority(priority),
        produced(resumed_tokens) {}

  // KV cache tokens that the request reserves while it runs.
  int64_t KvTokens() const { return this->prompt_tokens + this->max_tokens; }

  bool Ended() const { return this->state != State::kWaiting && this->state != State::kRunning; }

  // Sets the final state and notifies the task that sends the tokens.
  void End(State outcome) {
    this->state = outcome;
    this->changed.NotifyAll();
  }

  // Adds one token produced by weight version `version`.
  void AddToken(int64_t version) {
    if (this->spans.empty() || this->spans.back().version != version) {
      this->spans.push_back(WeightSpan{version, 0});
    }
    ++this->spans.back().tokens;
    ++this->produced;
    this->changed.NotifyAll();
  }

  const std::string request_id;
  const ExpectedAnswer answer;
  const std::vector<PrefixCache::Block> blocks;
  const int64_t prompt_tokens;
  const int64_t max_tokens;
  const int64_t resumed_tokens;
  const Priority priority;

  State state = State::kWaiting;
  int64_t produced;               // tokens so far, including the resumed ones; index of the next
  TimePoint prefilled_at;         // when the first token can be produced
  std::vector<WeightSpan> spans;  // of the tokens produced here
  Event changed;                  // notified on each token and at the end
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_GENERATION_H_
