#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
pids=()
for case in review/[0-9]*/scene.cc; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "$out/scene-$number" "$case" \
    review/support/*.cc -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
