// A compact set of job ids that the leader sends to its followers. The hash, the number of probes
// and the text format must be the same in all versions, which exchange the text.
#ifndef ZINCLEAD_ADMISSION_BLOOM_FILTER_H_
#define ZINCLEAD_ADMISSION_BLOOM_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinclead::admission {

// A Bloom filter: MayContain returns true for each id that was added, and for about 1% of the
// others (false positives). Not thread-safe.
class BloomFilter {
 public:
  // Maximum size of a filter. A filter for more ids than fit has more false positives.
  static constexpr size_t kMaxBytes = size_t{16} * 1024;

  // Creates an empty filter of size 0, to which ids can't be added.
  BloomFilter() = default;
  // Creates a filter sized for `id_count` ids. If that is 0, ids can't be added.
  explicit BloomFilter(size_t id_count);

  // Requires a filter that was created for at least one id.
  void Add(std::string_view id);
  // Returns false if `id` was certainly not added.
  [[nodiscard]] bool MayContain(std::string_view id) const;

  // Serializes the filter as hexadecimal text, two digits per byte.
  [[nodiscard]] std::string ToText() const;
  // Parses the result of ToText. Returns nullopt if the text is not hexadecimal or encodes more
  // than kMaxBytes.
  [[nodiscard]] static std::optional<BloomFilter> FromText(std::string_view text);

 private:
  std::vector<uint8_t> bytes_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_BLOOM_FILTER_H_
