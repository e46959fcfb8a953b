#include "anvilcroft/owner_handover.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTexts = 100000;
constexpr std::size_t kTextOverhead = 64;  // bytes of an entry besides the id and the text
constexpr int kTakenStatus = 202;
constexpr int kDeclinedStatus = 409;
constexpr int kUnknownStatus = 504;

json Binary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string Bytes(const json& value) {
  if (!value.is_binary()) return "";
  return std::string(value.get_binary().begin(), value.get_binary().end());
}

}  // namespace

std::string EncodeHandover(const OwnerHandover& handover) {
  std::vector<std::pair<std::string, JobTexts::key_type>> encoded;  // text, job and item
  for (const auto& [ids, text] : handover.texts) {
    if (auto value = EncodeText(text)) encoded.emplace_back(std::move(*value), ids);
  }
  std::sort(encoded.begin(), encoded.end(),
            [](const auto& a, const auto& b) { return a.first.size() > b.first.size(); });
  json texts = json::array();
  std::size_t size = kTextOverhead;
  for (const auto& [value, ids] : encoded) {
    size += value.size() + ids.first.size() + ids.second.size() + kTextOverhead;
    if (size > kMaxHandoverBytes) break;
    texts.push_back({{"job", ids.first}, {"item", ids.second}, {"text", Binary(value)}});
  }
  const std::vector<std::uint8_t> bytes =
      json::to_cbor({{"record", EncodeOwner(handover.record)}, {"texts", std::move(texts)}});
  return std::string(bytes.begin(), bytes.end());
}

Result<OwnerHandover> DecodeHandover(const std::string& value) {
  const auto parsed = ParseCbor(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "handover");
  auto record = DecodeOwner(fields.String("record", 4096));
  if (!record) return tl::unexpected<Error>(record.error());
  OwnerHandover handover;
  handover.record = std::move(*record);
  for (const json& entry : fields.Array("texts", kMaxTexts)) {
    JsonFields entry_fields(entry, "texts");
    const std::string job = entry_fields.String("job");
    const std::string item = entry_fields.String("item");
    auto text = DecodeText(Bytes(entry_fields.Optional("text")));
    if (entry_fields.Ok() && text) {
      handover.texts.emplace(std::make_pair(job, item), std::move(*text));
    }
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return handover;
}

int HandoverStatus(HandoverAnswer answer) {
  switch (answer) {
    case HandoverAnswer::kTaken:
      return kTakenStatus;
    case HandoverAnswer::kDeclined:
      return kDeclinedStatus;
    case HandoverAnswer::kUnknown:
      break;
  }
  return kUnknownStatus;
}

HandoverAnswer HandoverAnswerFor(int status) {
  return status == kTakenStatus     ? HandoverAnswer::kTaken
         : status == kUnknownStatus ? HandoverAnswer::kUnknown
                                    : HandoverAnswer::kDeclined;
}

}  // namespace anvilcroft
