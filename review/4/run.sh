#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" exec "$(dirname "$0")/../standins-2/run-case.sh" 4
