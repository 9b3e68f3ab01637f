#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$1" && pwd)" || exit 2
root="$(cd "$folder/../.." && pwd)" || exit 2
[ -f "$root/target/hazelspoke.jar" ] && [ -f "$root/target/review/$2.class" ] || {
  echo "not built: run the build of the deploy file and review/build.sh first"
  exit 2
}
rm -f "$folder/record.txt"
temporary="$(mktemp -d)" || exit 2
cd "$root" || exit 2
timeout -k 5 110 java -Xmx768m -Xss512k -cp target/review:target/hazelspoke.jar "$2" "$root" "$folder" "$temporary"
code=$?
rm -rf "$temporary"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
