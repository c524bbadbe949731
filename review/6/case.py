"""PostgreSQL clients that stop in the middle of a message, before they have logged in: does the node keep its limit?"""

import asyncio
import socket
import struct
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import http_client  # noqa: E402

MEMORY_MB = 192
CROWD = 250
SENT = 1_000_000
WATCH_S = 8.0


def half_a_message(port):
    """A client that says who it is, sends `SENT` bytes of an answer to the password request, and stops."""
    stream = socket.create_connection(("127.0.0.1", port), timeout=3)
    stream.settimeout(3)
    start = struct.pack("!i", 196608) + b"user\0ratings\0database\0ratings\0\0"
    stream.sendall(struct.pack("!i", len(start) + 4) + start)
    try:
        stream.sendall(b"p" + struct.pack("!i", SENT + 1000) + bytes(SENT))
    except OSError:
        pass  # The node may refuse such a client at any byte.
    return stream


def body(case):
    databases = {"db1": harness.free_port()}
    case.start_database("db1", databases["db1"])
    targets, listen = case.start_match_servers(2), harness.free_port()
    postgres = case.start_postgres_node(databases, 1000, targets=targets, listen=listen)
    case.watch_memory("node", MEMORY_MB)
    answers, is_over = [], threading.Event()

    def ordinary_clients():
        number = 0
        while not is_over.is_set():
            number += 1
            answers.append(asyncio.run(http_client.ask(listen, f"r{number}")))
            time.sleep(0.02)

    asking = threading.Thread(target=ordinary_clients)
    asking.start()
    time.sleep(0.5)
    crowd = []
    if case.troubled:
        try:
            while len(crowd) < CROWD:
                crowd.append(half_a_message(postgres))
        except OSError as error:
            case.note(f"client {len(crowd) + 1} can't connect: {error}")
    case.note(f"{len(crowd)} PostgreSQL clients have sent {SENT} bytes each and stop; none has logged in")
    ends = time.monotonic() + WATCH_S
    while time.monotonic() < ends and not case.killed_for_memory:
        time.sleep(0.1)
    time.sleep(0.3)
    is_over.set()
    asking.join()
    for stream in crowd:
        stream.close()
    case.note(f"largest resident memory of the node: {case.peak_mb:.0f} MB; its limit: {MEMORY_MB} MB")
    case.note(f"what HTTP clients got meanwhile: {dict(Counter(answers))}")
    return [f"the node went over its limit of {MEMORY_MB} MB and was killed"] if case.killed_for_memory else []


harness.main(FOLDER, body)
