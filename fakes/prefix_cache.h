#ifndef FAKES_PREFIX_CACHE_H_
#define FAKES_PREFIX_CACHE_H_

// The prefix cache of a fake engine: blocks of 16 tokens with least-recently-used eviction. A block
// is identified by a hash of the whole prompt up to the end of the block.

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
  // Called with `stored` true for an added block and false for a removed one.
  using Observer = std::function<void(const Block& block, bool stored)>;

  explicit PrefixCache(Observer observer) : observer(std::move(observer)) {}

  // Returns the hashes of the full blocks of `prompt`, in order.
  static std::vector<Block> BlocksOf(std::string_view prompt);

  // Returns the number of leading blocks that are in the cache and marks them as recently used.
  int64_t Match(const std::vector<Block>& blocks);

  // Adds `blocks` (in prompt order), then evicts blocks as Shrink does.
  void Add(const std::vector<Block>& blocks, int64_t capacity);

  // Removes the least recently used blocks until at most `capacity` tokens are cached.
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
