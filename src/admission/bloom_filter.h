// A compact set of job ids that one controller sends to another: a Bloom filter. It may hold an id
// that was never added, never miss one that was.
#ifndef ZINCLEAD_ADMISSION_BLOOM_FILTER_H_
#define ZINCLEAD_ADMISSION_BLOOM_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinclead::admission {

class BloomFilter {
 public:
  BloomFilter() = default;
  // No filter takes more: one for more ids lets more others pass.
  static constexpr size_t kMaxBytes = size_t{16} * 1024;

  // Sized for `ids` ids. An empty filter holds none and takes no space.
  explicit BloomFilter(size_t ids);

  void Add(std::string_view id);
  bool MayContain(std::string_view id) const;

  // Hexadecimal text, and back. A text that is not one, or is larger than kMaxBytes, is nullopt.
  std::string ToText() const;
  static std::optional<BloomFilter> FromText(std::string_view text);

 private:
  std::vector<uint8_t> bytes_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_BLOOM_FILTER_H_
