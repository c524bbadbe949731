"""A statement with a long value, sent with the extended query protocol: is it answered?"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import pg_client  # noqa: E402

DEADLINE_S = 1.0
WAIT_S = 10.0
# Bytes of the SQL text. PROTOCOL has bodies of up to 64 KiB, DAYS of up to 32 MB.
SHORT, LONG = 60_000, 64 * 1024


def insert(letter, size):
    """An INSERT whose SQL text has this many bytes."""
    start, end = "INSERT INTO rating VALUES ('", "')"
    return start + letter * (size - len(start) - len(end)) + end


def body(case):
    databases = {"db1": harness.free_port(), "db2": harness.free_port()}
    for name, port in databases.items():
        case.start_database(name, port)
    port = case.start_postgres_node(databases, int(DEADLINE_S * 1000))
    client = pg_client.Client(port)
    broken = []
    for size in (1_000, SHORT, LONG if case.troubled else SHORT):
        sql = insert("x", size)
        sent_at = time.monotonic()
        client.send(pg_client.statement(sql) + pg_client.SYNC)
        try:
            got = client.answer(WAIT_S)
        except pg_client.Gone as error:
            got = [f"connection closed: {error}"]
        except pg_client.Silent:
            got = None
        after = time.monotonic() - sent_at
        case.note(f"Parse, Bind, Execute, Sync with a statement of {size} bytes: {got if got else 'no answer'} "
                  f"after {after:.2f} s")
        if got is None:
            broken.append(f"no answer to a statement of {len(sql)} bytes within {after:.1f} s; the deadline of a "
                          f"transaction is {DEADLINE_S} s")
    other = pg_client.Client(port)
    long_query = other.run(insert("y", LONG)) if case.troubled else other.run("SELECT 1")
    case.note(f"for comparison, on another connection as one Query: {long_query}")
    return broken


harness.main(FOLDER, body)
