#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run-case.sh" 7
