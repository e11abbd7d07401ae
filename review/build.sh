#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the JDK only; the gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -encoding UTF-8 -d target standins/*.java
