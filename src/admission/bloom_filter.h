// A compact set of job ids that one controller sends to another. All versions must agree on its
// text: the hash, the probes and the bits an id.
#ifndef ZINCLEAD_ADMISSION_BLOOM_FILTER_H_
#define ZINCLEAD_ADMISSION_BLOOM_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinclead::admission {

// A Bloom filter: it may seem to contain an id that was never added (one in a hundred), but never
// misses one that was.
class BloomFilter {
 public:
  // A filter for more ids than fit has more false positives.
  static constexpr size_t kMaxBytes = size_t{16} * 1024;

  // Contains no id and takes no space. Ids can't be added.
  BloomFilter() = default;
  // Sized for `ids` ids; for 0 the same as the default.
  explicit BloomFilter(size_t ids);

  // Requires a filter that is sized for at least one id.
  void Add(std::string_view id);
  [[nodiscard]] bool MayContain(std::string_view id) const;

  // Hexadecimal text, two digits a byte.
  [[nodiscard]] std::string ToText() const;
  // Returns nullopt if the text is not hexadecimal or is longer than kMaxBytes.
  [[nodiscard]] static std::optional<BloomFilter> FromText(std::string_view text);

 private:
  std::vector<uint8_t> bytes_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_BLOOM_FILTER_H_
