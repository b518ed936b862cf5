#!/bin/sh
# Plays the case; TROUBLE=0 leaves the loss of power out.
cd "$(dirname "$0")/../.." || exit 2
exec "${PYTHON:-python3}" -S -B review/1/case.py
