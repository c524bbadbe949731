"""ROLLBACK AND CHAIN after the server of the transaction is lost: is what follows rolled back?"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import pg_client  # noqa: E402


def body(case):
    databases = {f"db{number}": harness.free_port() for number in range(1, 6)}
    for name, port in databases.items():
        case.start_database(name, port)
    client = pg_client.Client(case.start_postgres_node(databases, 5000))

    def run(sql):
        got = client.run(sql, 8)
        case.note(f"{sql}: {got}")
        return got

    run("BEGIN")
    run("INSERT INTO rating VALUES ('row-1')")
    if case.troubled:
        case.kill(next(name for name in databases if case.has_run(name, "row-1")))
        time.sleep(0.3)
    chained = run("ROLLBACK AND CHAIN")
    if not any(part.startswith("done ROLLBACK") for part in chained):
        case.note("ROLLBACK AND CHAIN was not reported as done: the client goes no further")
        return []
    run("INSERT INTO rating VALUES ('row-2')")
    run("ROLLBACK")
    rows = [row for name in databases for row in case.committed(name)]
    case.note(f"rows committed: {rows}")
    return [f"{row} is committed, and its client rolled it back" for row in rows]


harness.main(FOLDER, body)
