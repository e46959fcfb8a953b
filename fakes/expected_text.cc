#include "fakes/expected_text.h"

#include "anvilcroft/hash.h"

namespace anvilcroft::fakes {
namespace {

constexpr uint64_t kVocabularySize = 50000;

}  // namespace

ExpectedAnswer::ExpectedAnswer(std::string_view prompt) : hash(StableHash(prompt)) {}

Token ExpectedAnswer::TokenAt(int64_t index) const {
  const uint64_t mixed = RendezvousWeight(std::to_string(this->hash), std::to_string(index));
  const auto id = static_cast<int64_t>(mixed % kVocabularySize);
  return Token{id, "w" + std::to_string(id) + " "};
}

std::string ExpectedText(std::string_view prompt, int64_t max_tokens) {
  const ExpectedAnswer answer(prompt);
  std::string text;
  for (int64_t i = 0; i < max_tokens; ++i) text += answer.TokenAt(i).text;
  return text;
}

double ExpectedReward(std::string_view output) {
  return static_cast<double>(StableHash(output) % 1001) / 1000;
}

int64_t PromptTokens(std::string_view prompt) {
  return static_cast<int64_t>((prompt.size() + 3) / 4);
}

}  // namespace anvilcroft::fakes
