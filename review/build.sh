#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for name in cut_node slow_reader many_attempts; do
  g++ -std=c++20 -O1 -Wall -pthread -I. -o "build/$name" "standin/$name.cc"
done
