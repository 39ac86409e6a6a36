#include "admission/bloom_filter.h"

#include <algorithm>

namespace zinclead::admission {
namespace {

// 12 bits per id and 4 probes result in about 1% false positives.
constexpr size_t kBitsPerId = 12;
constexpr size_t kProbes = 4;
constexpr size_t kBitsPerByte = 8;
constexpr size_t kMinBytes = 64;
constexpr std::string_view kHexDigits = "0123456789abcdef";

// FNV-1a. std::hash is unsuitable: its values may differ between builds, and controllers exchange
// filters.
uint64_t Hash(std::string_view id) {
  constexpr uint64_t kOffset = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffset;
  for (const char c : id) {
    hash ^= static_cast<uint8_t>(c);
    hash *= kPrime;
  }
  // Mixes the high bits into the low ones: ForEachBit uses both halves of the hash, and ids often
  // differ only in their last characters.
  hash ^= hash >> 29U;
  return hash * kPrime;
}

// Calls `visit(byte_index, mask)` for each bit of the filter that represents `id`.
template <typename Visit>
void ForEachBit(std::string_view id, size_t bit_count, const Visit& visit) {
  const uint64_t hash = Hash(id);
  const uint64_t first = hash & 0xffffffffULL;
  const uint64_t step = (hash >> 32U) | 1U;
  for (size_t probe = 0; probe < kProbes; ++probe) {
    const size_t bit = (first + probe * step) % bit_count;
    visit(bit / kBitsPerByte, static_cast<uint8_t>(1U << (bit % kBitsPerByte)));
  }
}

}  // namespace

BloomFilter::BloomFilter(size_t id_count)
    : bytes_(id_count == 0
                 ? 0
                 : std::clamp(id_count * kBitsPerId / kBitsPerByte, kMinBytes, kMaxBytes)) {}

void BloomFilter::Add(std::string_view id) {
  if (bytes_.empty()) return;
  ForEachBit(id, bytes_.size() * kBitsPerByte,
             [this](size_t byte_index, uint8_t mask) { bytes_[byte_index] |= mask; });
}

bool BloomFilter::MayContain(std::string_view id) const {
  if (bytes_.empty()) return false;
  bool has_all_bits = true;
  ForEachBit(id, bytes_.size() * kBitsPerByte, [&](size_t byte_index, uint8_t mask) {
    if ((bytes_[byte_index] & mask) == 0) has_all_bits = false;
  });
  return has_all_bits;
}

std::string BloomFilter::ToText() const {
  std::string text;
  text.reserve(2 * bytes_.size());
  for (const uint8_t byte : bytes_) {
    text.push_back(kHexDigits[byte >> 4U]);
    text.push_back(kHexDigits[byte & 15U]);
  }
  return text;
}

std::optional<BloomFilter> BloomFilter::FromText(std::string_view text) {
  if (text.size() % 2 != 0 || text.size() / 2 > kMaxBytes) return std::nullopt;
  BloomFilter filter;
  filter.bytes_.reserve(text.size() / 2);
  for (size_t i = 0; i < text.size(); i += 2) {
    const size_t high = kHexDigits.find(text[i]);
    const size_t low = kHexDigits.find(text[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) return std::nullopt;
    filter.bytes_.push_back(static_cast<uint8_t>(high << 4U | low));
  }
  return filter;
}

}  // namespace zinclead::admission
