#include "anvilcroft/engine_output.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {

void EngineOutput::Add(nlohmann::json token, const std::string& piece,
                       std::optional<int64_t> version) {
  this->tokens.push_back(std::move(token));
  this->text += piece;
  if (version) {
    this->versions.push_back(*version);
  } else {
    this->versions_known = false;
  }
}

void EngineOutput::CheckFinalSpans(const std::vector<WeightSpan>& reported, int64_t call_tokens) {
  if (!this->versions_known) return;
  // An engine that resumed the output may report spans for its own tokens or for all tokens, so the
  // comparison runs backwards from the last token.
  auto token = this->versions.rbegin();
  int64_t remaining = call_tokens;
  for (auto span = reported.rbegin(); span != reported.rend() && remaining > 0; ++span) {
    const int64_t count = std::min(span->tokens, remaining);
    for (int64_t i = 0; i < count; ++i, ++token) {
      if (*token != span->version) this->versions_known = false;
    }
    remaining -= count;
  }
  if (remaining > 0) this->versions_known = false;
}

std::vector<WeightSpan> EngineOutput::Spans() const {
  std::vector<WeightSpan> spans;
  if (!this->versions_known) return spans;
  for (const int64_t version : this->versions) {
    if (spans.empty() || spans.back().version != version) spans.push_back({version, 0});
    ++spans.back().tokens;
  }
  return spans;
}

std::string EngineOutput::Body(const std::string& request_id) const {
  return DumpJson({{"request_id", request_id},
                   {"tokens", this->tokens},
                   {"text", this->text},
                   {"spans", EncodeSpans(this->Spans())},
                   {"finish", this->finish}});
}

nlohmann::json EncodeSpans(const std::vector<WeightSpan>& spans) {
  nlohmann::json list = nlohmann::json::array();
  for (const WeightSpan& span : spans) {
    list.push_back({{"version", span.version}, {"tokens", span.tokens}});
  }
  return list;
}

}  // namespace anvilcroft
