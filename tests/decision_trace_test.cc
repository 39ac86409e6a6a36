// Checks that the core's decisions are a deterministic function of its inputs: the decisions and
// stored records of seeded histories must have the digests in data/decision_digests.json. A
// refactoring must not change the digests. To find the first line that differs, set
// ZINCLEAD_TRACE_DIR to an existing directory, where the lines of each history are written.

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <memory>

#include "cluster_model.h"

namespace zinclead::core::model {
namespace {

// A 64-bit FNV-1a hash of all lines. Not cryptographic.
class TraceDigest {
 public:
  void Add(const std::string& line) {
    for (const char c : line) AddByte(static_cast<unsigned char>(c));
    AddByte('\n');
    ++lines_;
  }
  std::string ToString() const {
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

// Returns the file for the lines of this history; null if ZINCLEAD_TRACE_DIR is not set.
std::unique_ptr<std::ofstream> OpenTraceFile(uint32_t seed) {
  const char* directory = std::getenv("ZINCLEAD_TRACE_DIR");
  if (directory == nullptr) return nullptr;
  return std::make_unique<std::ofstream>(std::string(directory) + "/" + std::to_string(seed));
}

std::string DigestOf(uint32_t seed, SimulatedCluster::Kind kind) {
  TraceDigest digest;
  const auto file = OpenTraceFile(seed);
  SimulatedCluster cluster(seed, kind);
  cluster.ObserveDecisions([&](const std::string& line) {
    digest.Add(line);
    if (file) *file << line << '\n';
  });
  cluster.Run();
  return digest.ToString();
}

// Guards against unintended or nondeterministic changes of the core's decisions.
TEST(DecisionTrace, SeededHistoriesKeepTheirDigests) {
  std::ifstream file(std::string(ZINCLEAD_TEST_DATA) + "/decision_digests.json");
  ASSERT_TRUE(file.is_open());
  const wire::Json expected = wire::Json::parse(file);
  ASSERT_GE(expected.size(), 10U);
  for (const auto& history : expected) {
    const auto seed = history.at("seed").get<uint32_t>();
    const bool with_faults = history.at("troubled").get<bool>();
    const std::string digest = DigestOf(seed, with_faults ? SimulatedCluster::Kind::kWithFaults
                                                          : SimulatedCluster::Kind::kWithoutFaults);
    EXPECT_EQ(digest, history.at("digest").get<std::string>()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace zinclead::core::model
