#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] && [ -x target/teaseledge ] || exit 2
timeout --signal=KILL 110 review/bin/case3 review/3/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
