#!/bin/sh
# run-case.sh FOLDER: runs FOLDER/case.py. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$(dirname "$0")" timeout -k 5 112 python3 "$1/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
