#!/bin/sh
# Builds the stand-ins of the review's cases, after the build of the deploy file and with its
# packages, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=""
rm -f target/review/*.o
for source in review/standins/*.cc src/net/event_loop.cc src/net/http_server.cc \
  src/net/http_client.cc src/wire/json.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc -Ireview -c -o "target/review/$(basename "$source" .cc).o" \
    "$source" &
  pids="$pids $!"
done
for pid in $pids; do
  wait "$pid"
done
g++ -o target/review/case target/review/*.o \
  -lspdlog -lfmt -levent_extra -levent_pthreads -levent_core -lpthread
