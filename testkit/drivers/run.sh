#!/usr/bin/env bash
# Runs PostgreSQL drivers of other languages through the node and directly against a fake database, and compares the
# outcomes of each test cell. Not part of CI, since the packages come from package registries: psycopg[binary] 3,
# asyncpg and pg8000 from PyPI; pg, pg-copy-streams and postgres from npm. Also runs psql if it is installed.
#
#   testkit/drivers/run.sh [FOLDER]     packages are kept in FOLDER (default: a new temporary folder)
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
folder=${1:-$(mktemp -d)}
mkdir -p "$folder"
(cd "$root" && cargo build --release --locked -p badgerpost -p badgerpost-scenarios)
[ -x "$folder/venv/bin/python" ] || python3 -m venv "$folder/venv"
"$folder/venv/bin/pip" -q install "psycopg[binary]" asyncpg pg8000
(cd "$folder" && npm install --silent --no-audit --no-fund pg pg-copy-streams postgres)

exec 3< <(exec "$root/target/release/badgerpost-rehearse" up postgres </dev/null)
up=$!
trap 'kill $up 2>/dev/null || true' EXIT
read -r stage <&3
code=0
"$folder/venv/bin/python" "$here/matrix.py" "$stage" || code=1
NODE_PATH="$folder/node_modules" node "$here/matrix.js" "$stage" || code=1
if command -v psql >/dev/null; then
    field() { python3 -c 'import json,sys; print(json.loads(sys.argv[1])["postgres"][sys.argv[2]])' "$stage" "$1"; }
    listen=$(field listen)
    for command in "SELECT 1" "SHOW server_version" "BEGIN; SELECT 2; COMMIT"; do
        PGPASSWORD=$(field password) psql -At -h "${listen%:*}" -p "${listen##*:}" -U "$(field user)" \
            -d "$(field database)" -c "$command" >/dev/null || { echo "psql: $command failed"; code=1; }
    done
    PGPASSWORD=$(field password) psql -h "${listen%:*}" -p "${listen##*:}" -U "$(field user)" -d badgerpost \
        -c "SHOW POOLS" || code=1
    echo "psql: done"
fi
exit $code
