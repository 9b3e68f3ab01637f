#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs a JDK and the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -cp target/hazelspoke.jar -d target/review review/standin/*.java
