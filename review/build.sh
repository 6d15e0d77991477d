#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O2 -Wall -Wextra)
g++ "${flags[@]}" -c standin/world.cc -o bin/world.o
for source in standin/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = world ] || g++ "${flags[@]}" "$source" bin/world.o -o "bin/$name"
done
