#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs the compiler of the deploy file's build alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/*.cpp; do
  ${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "bin/$(basename "$source" .cpp)"
done
