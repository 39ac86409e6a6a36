// The record of a case: what was sent, answered and run, one line for each event.
#ifndef ZINCLEAD_REVIEW_STANDINS_RECORD_H_
#define ZINCLEAD_REVIEW_STANDINS_RECORD_H_

#include <cstdio>
#include <string>

#include "net/event_loop.h"

namespace zinclead::review {

class Record {
 public:
  // Throws nothing: without a file the events go to standard output only.
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Seconds since the record was opened.
  [[nodiscard]] double Now() const { return net::SteadyNow() - opened_at_; }

  void Add(const std::string& actor, const std::string& event) {
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f  %-10s %s\n", Now(), actor.c_str(), event.c_str());
    std::fflush(file_);
  }
  // Adds the line and prints it too.
  void Report(const std::string& actor, const std::string& event) {
    Add(actor, event);
    std::printf("%8.3f  %-10s %s\n", Now(), actor.c_str(), event.c_str());
    std::fflush(stdout);
  }

 private:
  const double opened_at_ = net::SteadyNow();
  std::FILE* const file_;
};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_RECORD_H_
