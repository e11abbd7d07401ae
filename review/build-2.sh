#!/bin/bash
# Builds the stand-ins of the cases from review/6 on. Needs nothing but the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
