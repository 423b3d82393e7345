#!/usr/bin/env bash
# Plays case 10 of the review. TROUBLE=0 leaves out the disruption. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
run=$(bin/whinlab line run) || exit 2
[ -x bin/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec bin/review-2 -case 10 -run "$run" -record review/10/record.txt
