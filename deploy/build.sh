#!/bin/sh
# Builds the gateway, and an archive of its classes from which it starts in less time. Where the
# archive cannot be made the gateway starts without it.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -ntp -DskipTests package
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.jfr.enabled=false \
  -XX:ArchiveClassesAtExit=target/hazelspoke.jsa \
  -jar target/hazelspoke.jar archive >target/archive.log 2>&1 || true
