// The versions of the keys in the store, as the leader knows them.
#ifndef ZINCLEAD_STATE_KEY_VERSIONS_H_
#define ZINCLEAD_STATE_KEY_VERSIONS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace zinclead::state {

class KeyVersions {
 public:
  // Version 0: the key does not exist.
  using Map = std::unordered_map<std::string, uint64_t>;

  explicit KeyVersions(Map versions) : versions_(std::move(versions)) {}

  [[nodiscard]] uint64_t Of(const std::string& key) const {
    const auto it = versions_.find(key);
    return it == versions_.end() ? 0 : it->second;
  }

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
  Map versions_;  // of existing keys only
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_KEY_VERSIONS_H_
