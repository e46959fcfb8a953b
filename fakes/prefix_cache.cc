#include "fakes/prefix_cache.h"

#include "anvilcroft/hash.h"

namespace anvilcroft::fakes {

std::vector<PrefixCache::Block> PrefixCache::BlocksOf(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = 4 * kBlockTokens;
  std::vector<Block> blocks;
  std::string chain;
  for (std::size_t begin = 0; begin + kBlockBytes <= prompt.size(); begin += kBlockBytes) {
    chain += prompt.substr(begin, kBlockBytes);
    chain = HexDigest(chain).substr(0, 16);
    blocks.push_back(chain);
  }
  return blocks;
}

int64_t PrefixCache::Match(const std::vector<Block>& blocks) {
  int64_t matched = 0;
  for (const Block& block : blocks) {
    if (this->positions.count(block) == 0) break;
    ++matched;
  }
  // Makes the first block the most recently used, because later blocks can't match without it.
  for (int64_t i = matched - 1; i >= 0; --i) {
    this->order.splice(this->order.begin(), this->order, this->positions.at(blocks[i]));
  }
  return matched;
}

void PrefixCache::Add(const std::vector<Block>& blocks, int64_t capacity) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    const auto found = this->positions.find(*block);
    if (found != this->positions.end()) {
      this->order.splice(this->order.begin(), this->order, found->second);
      continue;
    }
    this->order.push_front(*block);
    this->positions[*block] = this->order.begin();
    this->observer(*block, true);
  }
  this->Shrink(capacity);
}

void PrefixCache::Shrink(int64_t capacity) {
  while (!this->order.empty() && this->Tokens() > capacity) {
    const Block block = this->order.back();
    this->order.pop_back();
    this->positions.erase(block);
    this->observer(block, false);
  }
}

}  // namespace anvilcroft::fakes
