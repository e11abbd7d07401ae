#!/usr/bin/env bash
# Runs the case NAME of the stand-ins and records it in FOLDER/record.txt. Usage: run-case.sh NAME FOLDER.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
case_folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.."
if [ ! -f target/tarragonportd.jar ] || [ ! -f review/target/Cases.class ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
command="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)"
timeout -k 5 115 java -Xmx512m -XX:+UseSerialGC -Dgateway.command="$command" -cp review/target Cases "$1" "$case_folder/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
