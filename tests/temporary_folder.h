// A new folder that is removed with its contents at the end of a test.
#ifndef ZINCLEAD_TESTS_TEMPORARY_FOLDER_H_
#define ZINCLEAD_TESTS_TEMPORARY_FOLDER_H_

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace zinclead::testing {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    if (mkdtemp(path_.data()) == nullptr) throw std::runtime_error("cannot make a folder");
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_ = (std::filesystem::temp_directory_path() / "zinclead-test-XXXXXX").string();
};

}  // namespace zinclead::testing

#endif  // ZINCLEAD_TESTS_TEMPORARY_FOLDER_H_
