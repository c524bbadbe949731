"""What all cases share: temporary files, free ports, child processes, the record, and the start of a node.

A case is a coroutine that takes a Run and returns True if the rule held. `main` turns its result into the exit code of
run.sh: 0 held, 1 broken, 2 could not run.
"""

import asyncio
import ctypes
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
# run.sh is limited to 120 s; the case itself gets less, so that it can clean up.
TIME_LIMIT_S = 105
LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Runs in a new child: the system kills the child when this process ends, however it ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CouldNotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Run:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.record = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.children = []

    def note(self, event, **fields):
        """Writes one line to record.txt: milliseconds since the start, the event, its fields."""
        at = int((time.monotonic() - self.began) * 1000)
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.record.write(f"{at:>7} ms  {event}  {text}\n")

    async def spawn(self, name, command, **options):
        log = open(self.temporary / f"{name}.log", "ab")
        child = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
            preexec_fn=end_with_parent, **options,
        )
        self.children.append(child)
        self.note("process started", name=name)
        return child

    async def start_node(self, platform, operator_toml=None, tmpdir=None):
        """Starts a node with the `run` command of deploy/balancer.toml, and waits until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        program = deploy["run"].split()[-1]
        if not (ROOT / program).exists():
            raise CouldNotRun(f"{program} is not built")
        number = len(self.children)
        config = self.temporary / f"config-{number}.json"
        config.write_text(json.dumps(platform))
        command = deploy["run"]
        if operator_toml is not None:
            operators = self.temporary / f"operators-{number}.toml"
            operators.write_text(operator_toml)
            command += f" --config {operators}"
        node_tmpdir = tmpdir or tempfile.mkdtemp(dir=self.temporary)
        environment = dict(
            os.environ,
            EDGE_CONFIG=str(config),
            EDGE_NAME=platform["name"],
            EDGE_LISTEN=platform["listen"],
            EDGE_DISCOVERY=platform["discovery"],
            TMPDIR=str(node_tmpdir),
        )
        node = await self.spawn(f"node-{number}", ["/bin/sh", "-c", command], cwd=ROOT, env=environment)
        host, port = platform["listen"].rsplit(":", 1)
        for _ in range(300):
            if node.returncode is not None:
                raise CouldNotRun(f"the node ended: {self.log(f'node-{number}')}")
            try:
                if await http_get(host, int(port), "/health/ready") == 200:
                    self.note("node is ready")
                    return node
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"the node is not ready: {self.log(f'node-{number}')}")

    def log(self, name):
        return (self.temporary / f"{name}.log").read_text(errors="replace")[-2000:]

    async def close(self):
        """Ends all processes that the case started, stopped ones too."""
        for child in self.children:
            if child.returncode is None:
                try:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                except ProcessLookupError:
                    pass
        for child in self.children:
            await child.wait()
        self.note("all processes ended", count=len(self.children))
        shutil.rmtree(self.temporary, ignore_errors=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def http_get(host, port, path):
    """The status of a GET on a connection of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        return int(line.split()[1]) if line else 0
    except (asyncio.TimeoutError, IndexError, ValueError):
        return 0
    finally:
        writer.close()


def platform_config(listen_port, discovery_port, targets):
    """The platform's file of a small deployment: the settings of the wire page's example, with the limits of a scored
    day, and with no further zones or nodes."""
    ms = 1_000_000
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen_port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": True, "targets": targets},
        "settings": {
            "az": "dc-a", "zones": ["dc-a"], "kinds": ["standard"], "n-instances": 1, "me": 0,
            "discovery": "pushed", "family": "proxy", "family-info": {"warm-keys": False},
            "callers": {"marks-retry": True}, "projects": [], "over-share-worth": 0.1,
            "classes": [
                {"name": "lobby-status", "effect": "repeatable", "key-scope": "all", "window-ns": 5000 * ms,
                 "on-time-ns": 200 * ms, "deadline-ns": 500 * ms, "importance": 1.0, "late-share": 0.0,
                 "streaming": False},
                {"name": "lobby-join", "effect": "by_key", "key-scope": "zone", "window-ns": 2000 * ms,
                 "on-time-ns": 300 * ms, "deadline-ns": 1000 * ms, "importance": 3.0, "late-share": 0.0,
                 "streaming": False},
            ],
            "goal": {"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
            "policy-limits": {
                "attempts-cap": 4, "conn-idle-ns": 30_000 * ms, "connect-timeout-ns": 100 * ms,
                "cpu-us-per-request": 0.0, "cpu-us-per-s": 400_000, "max-retry-after-ns": 1000 * ms,
                "may-cancel": True, "open-cap": 20_000, "peers": False, "probes": False, "retry-after": True,
                "second-copies": True, "streams-per-conn": 1,
            },
            "prices": {}, "quantum-ns": 5 * ms, "report": {"fields": ["load_share"], "how": "piggyback"},
            "rules": {
                "answer-slack-ns": 20 * ms, "ask-within-ns": 10_000 * ms, "drain-grace-ns": 500 * ms,
                "fall-ns": 1500 * ms, "start-capacity": 0.12, "tip-multiple": 2.5, "warm-after-ns": 24_000 * ms,
            },
            "tier": 0, "tiers": ["match-servers"], "weights": "nominal", "worth-by": "request",
        },
    }


def target(uid, port):
    """An entry of discovery's list."""
    return {
        "uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "dc-a", "model": "standard", "pod_group": 0,
        "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0,
    }


async def start_discovery(port, targets):
    """An agent that answers calls at once with a list that never changes, and holds watches for their time."""

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split()[1].decode()
                query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if "=" in pair)
                answer = {"rev": 1, "all": True, "targets": targets}
                if int(query.get("from", 0)) >= 1:
                    await asyncio.sleep(int(query.get("hold_ms", 0)) / 1000)
                    answer = {"rev": 1, "all": False, "targets": []}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass                             # the caller has gone, or the case ends
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


def main(folder, case):
    async def whole():
        run = Run(folder)
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for ending in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(ending, task.cancel)
        try:
            run.note("case started", trouble=run.trouble)
            held = await asyncio.wait_for(case(run), TIME_LIMIT_S)
            run.note("verdict", rule="held" if held else "broken")
            print("rule held" if held else "rule broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            run.note("could not run", error=repr(error), trace=traceback.format_exc())
            print(f"could not run: {error!r}")
            return 2
        finally:
            await run.close()

    sys.exit(asyncio.run(whole()))
