#!/usr/bin/env bash
# Compiles the stand-ins of the cases 11 to 15 into target/review-3. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
