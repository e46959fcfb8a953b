#include "anvilcroft/batch_records.h"

#include <charconv>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Numbers in keys are zero-padded to these widths. Keys sort numerically as long as the numbers
// have no more digits.
constexpr std::size_t kPositionDigits = 8;
constexpr std::size_t kPartDigits = 4;
// First byte of each row of a result: whether this is its last row.
constexpr char kLastPart = 'l';
constexpr char kMorePartsFollow = 'm';

std::string ZeroPadded(int64_t number, std::size_t digits) {
  const std::string text = std::to_string(number);
  return std::string(digits - std::min(digits, text.size()), '0') + text;
}

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

// Arbitrary bytes as a CBOR byte string.
json ToBinary(const std::string& text) { return json::binary({text.begin(), text.end()}); }

// The bytes or the string at `key`; empty if there is neither.
std::string BytesField(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return "";
  if (found->is_binary()) return {found->get_binary().begin(), found->get_binary().end()};
  return found->is_string() ? found->get<std::string>() : "";
}

double NumberField(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

json ItemToJson(const BatchItem& item) {
  json headers = json::array();
  for (const auto& [name, value] : item.headers) {
    headers.push_back(ToBinary(name));
    headers.push_back(ToBinary(value));
  }
  json value = {{"id", ToBinary(item.id)},
                {"path", ToBinary(item.path)},
                {"headers", headers},
                {"body", ToBinary(item.body)},
                {"tokens", item.tokens},
                {"group", ToBinary(item.group)},
                {"length", item.expected_tokens},
                {"max", item.max_output_tokens}};
  if (item.score) {
    value["score"] = {{"id", ToBinary(item.score->id)},
                      {"host", ToBinary(item.score->host)},
                      {"path", ToBinary(item.score->path)},
                      {"body", ToBinary(item.score->body)}};
  }
  return value;
}

BatchItem ItemFromJson(const json& value) {
  BatchItem item;
  if (!value.is_object()) return item;
  item.id = BytesField(value, "id");
  item.path = BytesField(value, "path");
  item.body = BytesField(value, "body");
  item.group = BytesField(value, "group");
  item.tokens = static_cast<int64_t>(NumberField(value, "tokens"));
  item.expected_tokens = NumberField(value, "length");
  item.max_output_tokens = NumberField(value, "max");
  const auto headers = value.find("headers");
  if (headers != value.end() && headers->is_array()) {
    std::string name;
    bool is_name = true;
    for (const json& field : *headers) {
      if (!field.is_binary()) continue;
      const std::string text(field.get_binary().begin(), field.get_binary().end());
      if (!is_name) item.headers.emplace_back(name, text);
      name = text;
      is_name = !is_name;
    }
  }
  const auto score = value.find("score");
  if (score != value.end() && score->is_object()) {
    item.score = ScoreRequest{BytesField(*score, "id"), BytesField(*score, "host"),
                              BytesField(*score, "path"), BytesField(*score, "body")};
  }
  return item;
}

}  // namespace

RowId HeadRow(const std::string& job) { return {kBatchHeadTable, job, "head"}; }
RowId OpenRow(const std::string& job) { return {kBatchOpenTable, job, "open"}; }
RowId ListingRow(const std::string& job) { return {kBatchListingTable, job, "count"}; }

RowId ItemRow(const std::string& job, std::size_t part) {
  return {kBatchItemTable, job, ZeroPadded(static_cast<int64_t>(part), kPartDigits)};
}

RowId ResultRow(const std::string& job, int64_t position, std::size_t part) {
  return {kBatchResultTable, job,
          ZeroPadded(position, kPositionDigits) + "." +
              ZeroPadded(static_cast<int64_t>(part), kPartDigits)};
}

RowId TextRow(const std::string& job, const std::string& item) {
  return {kBatchTextTable, job, item};
}

int64_t ResultPosition(const std::string& key) {
  int64_t position = -1;
  std::from_chars(key.data(), key.data() + std::min(key.size(), kPositionDigits), position);
  return position;
}

std::string EncodeHead(const BatchHead& head) {
  json value = {{"host", ToBinary(head.host)},
                {"path", ToBinary(head.path)},
                {"model", ToBinary(head.model)},
                {"step", head.step},
                {"min_version", head.min_version},
                {"target_groups", head.target_groups},
                {"total", head.total},
                {"submitted_at", head.submitted_at},
                {"ended", head.ended}};
  // Without customers the row is that of earlier builds, which ignore the field.
  if (!head.customer.empty()) value["customer"] = ToBinary(head.customer);
  return ToCbor(value);
}

Result<BatchHead> DecodeHead(const std::string& job, const std::string& value) {
  const auto parsed = ParseCbor(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "batch head");
  BatchHead head;
  head.id = job;
  head.step = fields.Integer("step", -1, INT64_MAX);
  head.min_version = fields.Integer("min_version", 0, INT64_MAX);
  head.target_groups = fields.Integer("target_groups", 0, INT64_MAX);
  head.total = fields.Integer("total", 0, INT64_MAX);
  head.submitted_at = fields.Integer("submitted_at", 0, INT64_MAX);
  head.ended = fields.Bool("ended");
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  head.host = BytesField(*parsed, "host");
  head.path = BytesField(*parsed, "path");
  head.model = BytesField(*parsed, "model");
  head.customer = BytesField(*parsed, "customer");
  return head;
}

Result<std::vector<std::string>> EncodeItems(const std::vector<BatchItem>& items) {
  constexpr std::size_t kArrayOverhead = 16;
  std::vector<std::string> parts;
  json part = json::array();
  std::size_t size = kArrayOverhead;
  for (const BatchItem& item : items) {
    json encoded = ItemToJson(item);
    const std::size_t bytes = ToCbor(encoded).size();
    if (bytes + kArrayOverhead > kMaxRowBytes) {
      return Fail(ErrorCode::kTooLarge, "an item is too large for one row of the store", item.id);
    }
    if (size + bytes > kMaxRowBytes) {
      parts.push_back(ToCbor(part));
      part = json::array();
      size = kArrayOverhead;
    }
    size += bytes;
    part.push_back(std::move(encoded));
  }
  if (!part.empty()) parts.push_back(ToCbor(part));
  return parts;
}

Result<std::vector<BatchItem>> DecodeItems(const std::string& value) {
  const auto parsed = ParseCbor(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  if (!parsed->is_array()) return Fail(ErrorCode::kInvalidArgument, "items must be an array");
  std::vector<BatchItem> items;
  for (const json& item : *parsed) items.push_back(ItemFromJson(item));
  return items;
}

std::optional<std::string> EncodeText(const ItemText& text) {
  std::string value = ToCbor({{"events", text.events},
                              {"data", ToBinary(text.data)},
                              {"versions", text.versions},
                              {"last_version", text.last_version},
                              {"software", text.software},
                              {"complete", text.complete}});
  if (value.size() > kMaxRowBytes) return std::nullopt;
  return value;
}

Result<ItemText> DecodeText(const std::string& value) {
  const auto parsed = ParseCbor(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "batch text");
  ItemText text;
  text.events = fields.Integer("events", 0, INT64_MAX);
  text.last_version = fields.Integer("last_version", 0, INT64_MAX);
  text.software = fields.StringOr("software", "");
  text.complete = fields.Bool("complete");
  for (const json& version : fields.Array("versions", 100000)) {
    if (version.is_number_integer()) text.versions.push_back(version.get<int64_t>());
  }
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  text.data = BytesField(*parsed, "data");
  return text;
}

std::vector<std::string> EncodeResult(const ItemResult& result) {
  const std::string whole = ToCbor({{"item", ToBinary(result.item_id)},
                                    {"completed", result.completed},
                                    {"text", ToBinary(result.text)},
                                    {"versions", result.versions},
                                    {"score", ToBinary(result.score)}});
  std::vector<std::string> rows;
  for (std::size_t at = 0; at < whole.size(); at += kMaxRowBytes - 1) {
    const bool last = at + kMaxRowBytes - 1 >= whole.size();
    rows.push_back((last ? kLastPart : kMorePartsFollow) + whole.substr(at, kMaxRowBytes - 1));
  }
  return rows;
}

Result<std::optional<ItemResult>> ResultDecoder::Add(const std::string& value) {
  if (value.empty()) return Fail(ErrorCode::kInvalidArgument, "a row of a result is empty");
  this->collected += value.substr(1);
  if (value.front() == kMorePartsFollow) return std::optional<ItemResult>();
  const auto parsed = ParseCbor(std::exchange(this->collected, {}));
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "batch result");
  ItemResult result;
  result.completed = fields.Bool("completed");
  for (const json& version : fields.Array("versions", 100000)) {
    if (version.is_number_integer()) result.versions.push_back(version.get<int64_t>());
  }
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  result.item_id = BytesField(*parsed, "item");
  result.text = BytesField(*parsed, "text");
  result.score = BytesField(*parsed, "score");
  return std::optional<ItemResult>(std::move(result));
}

}  // namespace anvilcroft
