#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts: Python files that use the
# standard library only, so that it is enough to check that they compile.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in review/standins2.py review/[0-9]*/case.py; do
  case $file in review/[1-5]/*) continue ;; esac
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' "$file" "$out/x.pyc"
done
