#!/bin/sh
# Builds the stand-ins and the cases into target/review. Needs a JDK 17 alone: no dependency, no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -Xlint:all -d target/review review/standins/*.java $(find review/[123] -name '*.java')
