// Sets up the log of a program.
#ifndef ZINCLEAD_LOGGING_SETUP_H_
#define ZINCLEAD_LOGGING_SETUP_H_

namespace zinclead::logging {

// Logs to standard error, without waiting for its reader, at the level given by the environment
// variable LOG_LEVEL. Warnings and errors of libevent go to the same log.
void SetUp();

}  // namespace zinclead::logging

#endif  // ZINCLEAD_LOGGING_SETUP_H_
