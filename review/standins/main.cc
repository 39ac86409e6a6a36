// Runs one case of the review against controllers and stand-ins on loopback. Exits with 1 if the
// rule was broken, 0 if it held, 2 if the case could not run.

#include <cstdio>
#include <exception>
#include <string>

#include "standins/cases.h"

int main(int argc, char** argv) {
  using zinclead::review::CaseOptions;
  if (argc != 6) {
    std::fprintf(stderr, "usage: %s CASE CONTROLLER FOLDER RECORD TROUBLE\n", argv[0]);
    return zinclead::review::kCouldNotRun;
  }
  const std::string name = argv[1];
  const CaseOptions options{argv[2], argv[3], argv[4], std::string(argv[5]) != "0"};
  try {
    for (const auto& [known, run] : zinclead::review::kCases) {
      if (name == known) return run(options);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return zinclead::review::kCouldNotRun;
  }
  std::fprintf(stderr, "unknown case: %s\n", name.c_str());
  return zinclead::review::kCouldNotRun;
}
