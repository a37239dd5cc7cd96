#!/usr/bin/env bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
exec "$(dirname "$0")/../play.sh" service "$(dirname "$0")/record.txt"
