// Random numbers that follow from a seed, with every version of the standard library.
#ifndef ZINCLEAD_FAULT_INJECTION_SEEDED_RANDOM_H_
#define ZINCLEAD_FAULT_INJECTION_SEEDED_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace zinclead::fault_injection {

// Not thread-safe.
class SeededRandom {
 public:
  explicit SeededRandom(uint64_t seed) : generator_(seed) {}
  // A number from 0 to less than 1.
  double Unit() { return static_cast<double>(generator_() >> 11U) * 0x1.0p-53; }
  double Uniform(double low, double high) { return low + Unit() * (high - low); }
  // A number from 0 to count - 1.
  size_t Index(size_t count) { return generator_() % count; }

 private:
  std::mt19937_64 generator_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_SEEDED_RANDOM_H_
