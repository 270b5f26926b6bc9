#!/bin/sh
# Case 6: a runner whose streams have no length crashes within an event. Needs the build of
# the deploy file and review/build-2.sh. Exit code 1: the rule was broken, 0: it held, 2: the
# case could not run. TROUBLE=0 leaves the crash out.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_CASE=6 REVIEW_RECORD=review/6/record.txt exec target/review-2
