#ifndef ANVILCROFT_ENGINE_OUTPUT_H_
#define ANVILCROFT_ENGINE_OUTPUT_H_

// Accumulates the output of one model request, token by token, from one engine or from several
// engines that resumed it one after the other.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/weight_span.h"

namespace anvilcroft {

class EngineOutput {
 public:
  // Appends one token and its text. Without `version`, the weight versions of the whole output
  // become unknown.
  void Add(nlohmann::json token, const std::string& text, std::optional<int64_t> version);

  // Compares the spans that an engine reported in its last event with the versions of the last
  // `call_tokens` tokens, those of that engine's call. If they differ, the versions become unknown.
  void CheckFinalSpans(const std::vector<WeightSpan>& reported, int64_t call_tokens);

  void SetFinish(std::string value) { this->finish = std::move(value); }

  int64_t Size() const { return static_cast<int64_t>(this->tokens.size()); }
  const nlohmann::json& Tokens() const { return this->tokens; }
  const std::string& Finish() const { return this->finish; }

  // The weight versions of all tokens in order; empty if any version is unknown.
  std::vector<WeightSpan> Spans() const;

  // The JSON response body {request_id, tokens, text, spans, finish}.
  std::string Body(const std::string& request_id) const;

 private:
  nlohmann::json tokens = nlohmann::json::array();
  std::string text;
  std::vector<int64_t> versions;  // one for each token while all are known
  bool versions_known = true;
  std::string finish;
};

// The JSON form of spans: [{version, tokens}].
nlohmann::json EncodeSpans(const std::vector<WeightSpan>& spans);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_OUTPUT_H_
