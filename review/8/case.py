"""SET LOCAL in a transaction whose server is lost: does the setting hold after the transaction?"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import pg_client  # noqa: E402


def body(case):
    databases = {"db1": harness.free_port(), "db2": harness.free_port()}
    for name, port in databases.items():
        case.start_database(name, port)
    client = pg_client.Client(case.start_postgres_node(databases, 5000))

    def run(sql):
        got = client.run(sql, 8)
        case.note(f"{sql}: {got}")
        return got

    before = run("SHOW TimeZone")
    run("BEGIN")
    run("SET LOCAL TimeZone = 'Asia/Tokyo'")
    run("INSERT INTO rating VALUES ('row-1')")
    if case.troubled:
        case.kill(next(name for name in databases if case.has_run(name, "row-1")))
        time.sleep(0.3)
    run("SELECT 1")
    run("ROLLBACK")
    after = run("SHOW TimeZone")
    if not any(part.startswith("row") for part in before + after):
        raise harness.Unusable("SHOW was not answered with a row")
    rows_before = [part for part in before if part.startswith("row")]
    rows_after = [part for part in after if part.startswith("row")]
    case.note(f"TimeZone before the transaction: {rows_before}, after it: {rows_after}; last told to the client: "
              f"{client.parameters.get('TimeZone')}")
    if rows_after and rows_after != rows_before:
        return [f"after ROLLBACK the client's statements run with {rows_after} instead of {rows_before}"]
    return []


harness.main(FOLDER, body)
