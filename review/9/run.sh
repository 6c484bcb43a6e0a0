#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 the same without the disruption.
# Runs after deploy/build.sh and review/build-2.sh; writes record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/clovermill.jar ] || [ ! -f target/review-2/standins2/SlowReader.class ]; then
    echo "to be built first: sh deploy/build.sh && sh review/build-2.sh"
    exit 2
fi
exec java -Xmx512m -cp target/review-2 standins2.SlowReader review/9
