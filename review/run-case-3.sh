#!/usr/bin/env bash
# Runs the class $2 of the stand-ins for the case in the folder $1. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run.
folder="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
class="$2"
cd "$root" || exit 2
if [ ! -f target/tarragonportd.jar ] || [ ! -f "target/review-3/$class.class" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
java -XX:+UseSerialGC -XX:-UsePerfData -cp target/review-3 "$class" "$root" "$folder" 2>"$folder/errors.txt"
status=$?
# The exit status of the stand-ins is 1 also if they fail themselves.
if [ -s "$folder/errors.txt" ]; then
  cat "$folder/errors.txt" >&2
  exit 2
fi
rm -f "$folder/errors.txt"
exit "$status"
