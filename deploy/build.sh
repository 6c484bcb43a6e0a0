#!/bin/sh
# Builds the jar, then the archive of loaded classes with which a director starts faster. Without the
# archive everything works all the same.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -DwithoutErrorProne package
rm -f target/clovermill.jsa
java -XX:ArchiveClassesAtExit=target/clovermill.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -jar target/clovermill.jar rehearse example/config.json
