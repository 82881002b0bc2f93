#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts; run in any folder, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java $(find review -mindepth 2 -name 'Case*.java')
