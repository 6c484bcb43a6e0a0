#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10, after the build of the deploy file. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standins-2/*.java
