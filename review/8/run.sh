#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/rackstepd ] && [ -x "target/review-2/case-$(basename "$here")" ] || exit 2
exec "target/review-2/case-$(basename "$here")" target/rackstepd "$here/record.txt"
