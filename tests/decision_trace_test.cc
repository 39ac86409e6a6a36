// The core's decisions are a function of its inputs: seeded histories of the cluster model, every
// decision and rendered record written out in order, give the digests in
// data/decision_digests.json. A change that is meant to leave behaviour alone leaves the digests
// alone. To see the first line that differs, set ZINCLEAD_TRACE_DIR to a folder: each history's
// lines are written there.

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <memory>

#include "cluster_model.h"

namespace zinclead::core::model {
namespace {

// FNV-1a, 64 bits: not for security, only to tell two traces apart.
class TraceDigest {
 public:
  void Add(const std::string& line) {
    for (const char c : line) AddByte(static_cast<unsigned char>(c));
    AddByte('\n');
    ++lines_;
  }
  std::string Text() const {
    std::ostringstream text;
    text << std::hex << hash_ << std::dec << " of " << lines_ << " lines";
    return text.str();
  }

 private:
  void AddByte(unsigned char byte) {
    constexpr uint64_t kPrime = 0x100000001b3;
    hash_ = (hash_ ^ byte) * kPrime;
  }
  uint64_t hash_ = 0xcbf29ce484222325;
  uint64_t lines_ = 0;
};

std::unique_ptr<std::ofstream> OpenTraceFile(uint32_t seed) {
  const char* directory = std::getenv("ZINCLEAD_TRACE_DIR");
  if (directory == nullptr) return nullptr;
  return std::make_unique<std::ofstream>(std::string(directory) + "/" + std::to_string(seed));
}

std::string DigestOf(uint32_t seed, World::Kind kind) {
  TraceDigest digest;
  const auto file = OpenTraceFile(seed);
  World world(seed, kind);
  world.ObserveDecisions([&](const std::string& line) {
    digest.Add(line);
    if (file) *file << line << '\n';
  });
  world.Run();
  return digest.Text();
}

TEST(DecisionTrace, SeededHistoriesKeepTheirDigests) {
  std::ifstream file(std::string(ZINCLEAD_TEST_DATA) + "/decision_digests.json");
  ASSERT_TRUE(file.is_open());
  const wire::Json expected = wire::Json::parse(file);
  ASSERT_GE(expected.size(), 10U);
  for (const auto& history : expected) {
    const auto seed = history.at("seed").get<uint32_t>();
    const bool troubled = history.at("troubled").get<bool>();
    const std::string digest =
        DigestOf(seed, troubled ? World::Kind::kWithFaults : World::Kind::kWithoutFaults);
    EXPECT_EQ(digest, history.at("digest").get<std::string>()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace zinclead::core::model
