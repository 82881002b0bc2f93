#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 and the cases themselves into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
find review/standins-3 review/1[1-5] -name '*.java' -print0 2>/dev/null |
  xargs -0 javac --release 17 -encoding UTF-8 -d target/review-3
