#!/bin/bash
# Builds the stand-ins and cases of the second review (6 to 10) into build/review-2, with the packages of
# deploy/packages.txt and no network. The gateway itself is built by the deploy file's `build`.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/standin-2 "$source" -o "build/review-2/case-$number" &
done
for job in $(jobs -p); do wait "$job"; done
