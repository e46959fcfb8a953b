#ifndef FAKES_EXPECTED_TEXT_H_
#define FAKES_EXPECTED_TEXT_H_

// The answers of the fake targets. They depend on the input alone: every engine produces the same
// tokens for a prompt, whatever its weight version, so that a test can check a whole answer.

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilcroft::fakes {

struct Token {
  int64_t id = 0;
  std::string text;
};

// The answer to one prompt.
class ExpectedAnswer {
 public:
  explicit ExpectedAnswer(std::string_view prompt);

  Token TokenAt(int64_t index) const;

 private:
  uint64_t hash;
};

// Returns the whole text of an answer of `max_tokens` tokens to `prompt`.
std::string ExpectedText(std::string_view prompt, int64_t max_tokens);

// Returns the reward, 0 to 1, that the fake judge assigns to `output`.
double ExpectedReward(std::string_view output);

// Returns the length of `prompt` in tokens: one per four bytes, rounded up.
int64_t PromptTokens(std::string_view prompt);

}  // namespace anvilcroft::fakes

#endif  // FAKES_EXPECTED_TEXT_H_
