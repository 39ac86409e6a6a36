#include "admission/bloom_filter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace zinclead::admission {
namespace {

RC_GTEST_PROP(BloomFilter, ContainsEachAddedIdWhenParsedFromItsText,
              (const std::vector<std::string>& ids)) {
  BloomFilter filter(ids.size());
  for (const std::string& id : ids) filter.Add(id);
  const auto parsed = BloomFilter::FromText(filter.ToText());
  RC_ASSERT(parsed.has_value());
  for (const std::string& id : ids) RC_ASSERT(parsed->MayContain(id));
}

TEST(BloomFilter, HasFewFalsePositivesAndRejectsInvalidTexts) {
  BloomFilter filter(1000);
  for (int i = 0; i < 1000; ++i) filter.Add("req-" + std::to_string(100'000 + i));
  int false_positives = 0;
  for (int i = 0; i < 10'000; ++i) {
    false_positives += filter.MayContain("req-" + std::to_string(200'000 + i));
  }
  EXPECT_LT(false_positives, 300);
  EXPECT_FALSE(BloomFilter().MayContain("req-000001"));
  EXPECT_FALSE(BloomFilter::FromText("abc").has_value());
  EXPECT_FALSE(BloomFilter::FromText("zz").has_value());
  EXPECT_FALSE(BloomFilter::FromText(std::string(2 * BloomFilter::kMaxBytes + 2, '0')).has_value());
}

// Controllers of other versions parse this text, so its bytes must not change.
TEST(BloomFilter, TextIsUnchangedWhenIdsAreTheSame) {
  BloomFilter filter(2);
  filter.Add("req-000001");
  filter.Add("req-000412");
  EXPECT_EQ(filter.ToText(),
            "00080000000000000000000000040004010000000000000000000000000020000000000000000000"
            "000000000000002009000000000000000000000000000000");
}

}  // namespace
}  // namespace zinclead::admission
