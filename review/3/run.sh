#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 ../lib/run_case.py "$PWD"
