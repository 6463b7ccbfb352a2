#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x build/src/deckcart ] && [ -x review/bin/half_requests ] || exit 2
exec review/bin/half_requests "$run" review/2/record.txt
