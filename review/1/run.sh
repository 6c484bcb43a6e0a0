#!/bin/sh
# New settings are not taken, and requests that may not be repeated are sent twice.
# Exits with 1 where the rule was broken, with 0 where it held, with 2 where the case could not run. TROUBLE=0: the same
# without the disruption. Runs after deploy/build.sh and review/build.sh; writes record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/clovermill.jar ] || [ ! -f target/review/Retuned.class ]; then
    echo "to be built first: sh deploy/build.sh && sh review/build.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -k 4 114 java -Xmx512m -cp target/review Retuned review/1 "$folder"
status=$?
rm -rf "$folder"
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
