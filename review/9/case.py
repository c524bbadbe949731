"""A server lost between two statements of a transaction, and a client that prepares the next one with a Flush."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import pg_client  # noqa: E402

DEADLINE_S = 1.0
DOWN_S = 5.0
WAIT_S = 10.0


def wait(client, seconds):
    """The answer to Parse, Describe and Flush: ErrorResponse, RowDescription or NoData ends it. None if there is none."""
    try:
        return client.answer(seconds, b"ETn")
    except pg_client.Gone as error:
        return [f"connection closed: {error}"]
    except pg_client.Silent:
        return None


def body(case):
    databases = {f"db{number}": harness.free_port() for number in range(1, 6)}
    for name, port in databases.items():
        case.start_database(name, port)
    client = pg_client.Client(case.start_postgres_node(databases, int(DEADLINE_S * 1000)))
    for sql in ("BEGIN", "INSERT INTO rating VALUES ('row-1')"):
        case.note(f"{sql}: {client.run(sql)}")
    if case.troubled:
        lost = next(name for name in databases if case.has_run(name, "row-1"))
        case.kill(lost)
        time.sleep(0.2)
    sent_at = time.monotonic()
    client.send(pg_client.parse("SELECT 2", "s1") + pg_client.describe_statement("s1") + pg_client.FLUSH)
    case.note("sent: Parse, Describe, Flush")
    got = wait(client, DOWN_S)
    if case.troubled:
        case.start_database(lost, databases[lost])
    if got is None:
        got = wait(client, WAIT_S - DOWN_S)
    after = time.monotonic() - sent_at
    case.note(f"Parse, Describe, Flush: {got if got else 'no answer'} after {after:.2f} s")
    if got is None:
        return [f"no answer within {after:.1f} s; the deadline of a transaction is {DEADLINE_S} s"]
    return []


harness.main(FOLDER, body)
