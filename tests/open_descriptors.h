// The open descriptors of a process.
#ifndef ZINCLEAD_TESTS_OPEN_DESCRIPTORS_H_
#define ZINCLEAD_TESTS_OPEN_DESCRIPTORS_H_

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <iterator>
#include <string>

namespace zinclead::testing {

// For the calling process the result includes the one descriptor that counting needs.
inline size_t OpenDescriptors(pid_t pid) {
  const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid) + "/fd");
  return static_cast<size_t>(std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace zinclead::testing

#endif  // ZINCLEAD_TESTS_OPEN_DESCRIPTORS_H_
