#ifndef FAKES_PREFIX_CACHE_H_
#define FAKES_PREFIX_CACHE_H_

// The prefix cache of a fake engine: blocks of 16 tokens in least-recently-used order. A block is
// named by a hash of the whole prompt up to its end.

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilcroft::fakes {

class PrefixCache {
 public:
  static constexpr int64_t kBlockTokens = 16;
  using Block = std::string;
  // Called with `stored` true for a new block and false for a removed one.
  using Observer = std::function<void(const Block& block, bool stored)>;

  explicit PrefixCache(Observer observer) : observer(std::move(observer)) {}

  // Names of the full blocks of `prompt`, in order.
  static std::vector<Block> BlocksOf(std::string_view prompt);

  // Number of leading blocks that are in the cache; marks them as used.
  int64_t Match(const std::vector<Block>& blocks);

  // Adds `blocks` (in prompt order), then removes the least recently used ones beyond `capacity`
  // tokens.
  void Add(const std::vector<Block>& blocks, int64_t capacity);

  // Removes the least recently used blocks beyond `capacity` tokens.
  void Shrink(int64_t capacity);

  void Clear() { this->Shrink(0); }

  int64_t Tokens() const { return static_cast<int64_t>(this->order.size()) * kBlockTokens; }

 private:
  Observer observer;
  std::list<Block> order;  // most recently used first
  std::unordered_map<Block, std::list<Block>::iterator> positions;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_PREFIX_CACHE_H_
