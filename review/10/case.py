"""A session that keeps its server connection (LISTEN), and a server that hangs: is the next statement answered?"""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import pg_client  # noqa: E402

DEADLINE_S = 1.0
SLACK_S = 0.55
HANG_S = 6.0


def body(case):
    databases = {"db1": harness.free_port(), "db2": harness.free_port()}
    for name, at in databases.items():
        case.start_database(name, at)
    port = case.start_postgres_node(databases, int(DEADLINE_S * 1000))
    clients = {"ordinary": pg_client.Client(port), "with LISTEN": pg_client.Client(port)}
    case.note(f"with LISTEN: LISTEN news: {clients['with LISTEN'].run('LISTEN news')}")
    for name, client in clients.items():
        case.note(f"{name}: SELECT 1: {client.run('SELECT 1')}")
    held = next(name for name in databases if case.has_run(name, "LISTEN"))
    if case.troubled:
        case.signal(held, signal.SIGSTOP)
    sent_at = time.monotonic()
    for client in clients.values():
        client.send(pg_client.query("SELECT 2"))
    broken = []
    for name, client in clients.items():
        left = sent_at + HANG_S - 0.5 - time.monotonic()
        try:
            got = client.answer(left)
        except pg_client.Gone as error:
            got = [f"connection closed: {error}"]
        except pg_client.Silent:
            got = None
        after = time.monotonic() - sent_at
        case.note(f"{name}: SELECT 2: {got if got else 'no answer'} after {after:.2f} s")
        if got is None:
            broken.append(f"{name}: no answer within {after:.1f} s; its deadline is {DEADLINE_S} s")
    if case.troubled:
        time.sleep(max(0.0, sent_at + HANG_S - time.monotonic()))
        case.signal(held, signal.SIGCONT)
        for name, client in clients.items():
            try:
                case.note(f"{name}: after the server went on: {client.answer(3)}")
            except (pg_client.Gone, pg_client.Silent) as error:
                case.note(f"{name}: after the server went on: {error!r}")
    return broken


harness.main(FOLDER, body)
