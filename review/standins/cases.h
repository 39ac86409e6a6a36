// The cases of the review.
#ifndef ZINCLEAD_REVIEW_STANDINS_CASES_H_
#define ZINCLEAD_REVIEW_STANDINS_CASES_H_

#include <array>
#include <string_view>
#include <utility>

#include "standins/deployment.h"

namespace zinclead::review {

// Each returns the exit code of the case.
int RunHistoryCase(const CaseOptions& options);
int RunWaitingArrayCase(const CaseOptions& options);
int RunWaitingServiceCase(const CaseOptions& options);

inline constexpr std::array<std::pair<std::string_view, int (*)(const CaseOptions&)>, 3> kCases{
    {{"history", RunHistoryCase},
     {"waiting-array", RunWaitingArrayCase},
     {"waiting-service", RunWaitingServiceCase}}};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_CASES_H_
