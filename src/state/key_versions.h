// The last known versions of the keys in the key-value store.
#ifndef ZINCLEAD_STATE_KEY_VERSIONS_H_
#define ZINCLEAD_STATE_KEY_VERSIONS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace zinclead::state {

// Version 0 means that the key does not exist. Not thread-safe.
class KeyVersions {
 public:
  using Map = std::unordered_map<std::string, uint64_t>;

  explicit KeyVersions(Map versions) : versions_(std::move(versions)) {}

  // Returns 0 for an unknown key.
  [[nodiscard]] uint64_t GetVersion(const std::string& key) const {
    const auto it = versions_.find(key);
    return it == versions_.end() ? 0 : it->second;
  }

  // Replaces the versions of the keys in `updates`.
  void Update(const Map& updates) {
    for (const auto& [key, version] : updates) {
      if (version == 0) {
        versions_.erase(key);
      } else {
        versions_[key] = version;
      }
    }
  }

 private:
  Map versions_;  // holds no version 0
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_KEY_VERSIONS_H_
