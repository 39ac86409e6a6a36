#include "admission/bloom_filter.h"

#include <algorithm>

namespace zinclead::admission {
namespace {

// Twelve bits an id and four probes: about 1% false positives.
constexpr size_t kBitsPerId = 12;
constexpr size_t kProbes = 4;
constexpr size_t kBitsPerByte = 8;
constexpr size_t kMinBytes = 64;
constexpr std::string_view kDigits = "0123456789abcdef";

// FNV-1a: the same on every machine and in every version, unlike std::hash.
uint64_t Hash(std::string_view id) {
  constexpr uint64_t kOffset = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffset;
  for (const char c : id) {
    hash ^= static_cast<uint8_t>(c);
    hash *= kPrime;
  }
  // The low bits of similar ids are mixed further, as the probes are taken from two halves.
  hash ^= hash >> 29U;
  return hash * kPrime;
}

template <typename Visit>
void ForEachBit(std::string_view id, size_t bits, const Visit& visit) {
  const uint64_t hash = Hash(id);
  const uint64_t first = hash & 0xffffffffULL;
  const uint64_t step = (hash >> 32U) | 1U;
  for (size_t probe = 0; probe < kProbes; ++probe) {
    const size_t bit = (first + probe * step) % bits;
    visit(bit / kBitsPerByte, static_cast<uint8_t>(1U << (bit % kBitsPerByte)));
  }
}

}  // namespace

BloomFilter::BloomFilter(size_t ids)
    : bytes_(ids == 0 ? 0 : std::clamp(ids * kBitsPerId / kBitsPerByte, kMinBytes, kMaxBytes)) {}

void BloomFilter::Add(std::string_view id) {
  if (bytes_.empty()) return;
  ForEachBit(id, bytes_.size() * kBitsPerByte,
             [this](size_t at, uint8_t mask) { bytes_[at] |= mask; });
}

bool BloomFilter::MayContain(std::string_view id) const {
  if (bytes_.empty()) return false;
  bool all = true;
  ForEachBit(id, bytes_.size() * kBitsPerByte, [&](size_t at, uint8_t mask) {
    if ((bytes_[at] & mask) == 0) all = false;
  });
  return all;
}

std::string BloomFilter::ToText() const {
  std::string text;
  text.reserve(2 * bytes_.size());
  for (const uint8_t byte : bytes_) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

std::optional<BloomFilter> BloomFilter::FromText(std::string_view text) {
  if (text.size() % 2 != 0 || text.size() / 2 > kMaxBytes) return std::nullopt;
  BloomFilter filter;
  filter.bytes_.reserve(text.size() / 2);
  for (size_t i = 0; i < text.size(); i += 2) {
    const size_t high = kDigits.find(text[i]);
    const size_t low = kDigits.find(text[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) return std::nullopt;
    filter.bytes_.push_back(static_cast<uint8_t>(high << 4U | low));
  }
  return filter;
}

}  // namespace zinclead::admission
