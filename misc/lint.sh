#!/usr/bin/env bash
# Checks the format of all sources and lints them. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files -co --exclude-standard '*.h' '*.cpp')
clang-format --dry-run -Werror "${all[@]}"
mapfile -t sources < <(printf '%s\n' "${all[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>build/lint.err ||
  { echo "clang-tidy found problems" >&2 && exit 1; }
