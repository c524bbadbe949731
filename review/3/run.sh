#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" && exec sh ../lib/run-case.sh "$PWD"
