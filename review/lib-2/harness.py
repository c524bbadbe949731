"""Starts a node and its stand-ins for one case, writes record.txt, and ends all that it started."""

import ctypes
import http.server
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

import pg_client

LIBRARY = Path(__file__).resolve().parent
ROOT = LIBRARY.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MILLISECOND = 1_000_000
LIMIT_S = 110
LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1


class Unusable(Exception):
    """The case could not run."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """The command `run` of the deploy file."""
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    return re.search(r'^run\s*=\s*"(.*)"', text, re.M)[1]


class Discovery:
    """Answers the endpoint list; a watch is held until the list changes or its time is over."""

    def __init__(self, targets=()):
        self.targets, self.version, self.changed = list(targets), 1, threading.Condition()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                found = re.search(r"from=(\d+)&hold_ms=(\d+)", self.path)
                with outer.changed:
                    if found and int(found[1]) == outer.version:
                        outer.changed.wait_for(lambda: int(found[1]) != outer.version, int(found[2]) / 1000)
                    is_same = bool(found) and int(found[1]) == outer.version
                    body = {"rev": outer.version, "all": not is_same, "targets": [] if is_same else outer.targets}
                data = json.dumps(body).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

        class Listener(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                pass

        self.server = Listener(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def set(self, targets):
        with self.changed:
            self.targets, self.version = list(targets), self.version + 1
            self.changed.notify_all()


class Case:
    def __init__(self, folder):
        self.folder = Path(folder)
        self.troubled = os.environ.get("TROUBLE", "1") != "0"
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.processes = {}
        self.lock = threading.Lock()
        self.record = open(self.folder / "record.txt", "w")
        self.note(f"trouble: {'yes' if self.troubled else 'no'}")

    def note(self, text):
        with self.lock:
            self.record.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
            self.record.flush()

    # Processes.
    def start(self, name, command, environment=None, is_shell=False, descriptors=None):
        """`descriptors` is the process's own limit on open descriptors, as the platform sets it."""

        def prepare():
            # The process ends with this script, however that ends.
            LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        log = open(self.work / f"{name}.log", "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command] if is_shell else command, cwd=ROOT, env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=prepare)
        self.processes[name] = process
        self.note(f"started {name}")
        return process

    def signal(self, name, number):
        self.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def end_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def watch_memory(self, name, limit_mb):
        """Does what the platform does: kills the process once its resident memory is over the limit."""
        process = self.processes[name]
        self.peak_mb, self.killed_for_memory = 0.0, False

        def watch():
            while process.poll() is None:
                try:
                    status = Path(f"/proc/{process.pid}/status").read_text()
                except OSError:
                    return
                found = re.search(r"VmRSS:\s+(\d+) kB", status)
                self.peak_mb = max(self.peak_mb, int(found[1]) / 1024 if found else 0.0)
                if self.peak_mb > limit_mb:
                    self.killed_for_memory = True
                    self.note(f"{name} holds {self.peak_mb:.0f} MB, its limit is {limit_mb} MB: the platform kills it")
                    process.kill()
                    return
                time.sleep(0.02)

        threading.Thread(target=watch, daemon=True).start()

    # PostgreSQL servers.
    def start_match_servers(self, count, *options):
        """Starts HTTP backends. Returns their entries of the endpoint list."""
        targets = []
        for name in (f"match{number}" for number in range(1, count + 1)):
            port = free_port()
            self.start(name, [sys.executable, str(LIBRARY / "http_backend.py"), str(port), *options])
            self.wait_for(lambda at=port: is_listening(at), 5, f"{name} listens")
            targets.append({"uid": name, "endpoint": f"127.0.0.1:{port}", "az": "dc-a", "model": "standard",
                            "pod_group": 0, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0})
        return targets

    def start_database(self, name, port, *options):
        self.start(name, [sys.executable, str(LIBRARY / "pg_server.py"), str(port), str(self.work / f"{name}.store"),
                          str(self.work / f"{name}.runs"), *options])
        self.wait_for(lambda: is_listening(port), 5, f"{name} listens")

    def runs(self, name):
        path = self.work / f"{name}.runs"
        return path.read_text().splitlines() if path.exists() else []

    def has_run(self, name, text):
        return any(text in line for line in self.runs(name))

    def committed(self, name):
        path = self.work / f"{name}.store"
        return path.read_text().split() if path.exists() else []

    # The node.
    def start_postgres_node(self, databases, deadline_ms, extra="", targets=(), listen=None, descriptors=1024):
        """Starts a node with a PostgreSQL listener. `databases` are ports by name, `targets` the HTTP backends on the
        endpoint list, `listen` is the port for HTTP clients. Returns the PostgreSQL listener's port."""
        port, discovery = free_port(), Discovery(targets)
        users, password = self.work / "users", self.work / "password"
        for path, text in ((users, f"ratings {pg_client.verifier('secret')}\n"), (password, "unused")):
            path.write_text(text)
            path.chmod(0o600)
        servers = "".join(f'[[postgres.server]]\nname = "{name}"\naddress = "127.0.0.1:{at}"\nzone = "dc-a"\n'
                          for name, at in databases.items())
        operators = self.work / "badgerpost.toml"
        operators.write_text(
            f'[postgres]\nlisten = "127.0.0.1:{port}"\nzone = "dc-a"\nusers = "{users}"\n{extra}\n'
            f'[[postgres.login]]\nuser = "node"\npassword_file = "{password}"\n{servers}'
            f'[[postgres.class]]\nname = "rating-write"\naim_ms = 100\ndeadline_ms = {deadline_ms}\n')
        platform = self.platform(discovery.port, listen)
        platform["limits"]["sockets"] = descriptors
        self.start_node("node", platform, f" --config {operators}", descriptors)
        self.wait_for(lambda: self.can_connect(port), 15, "the node accepts PostgreSQL clients")
        return port

    def can_connect(self, port):
        try:
            pg_client.Client(port, timeout=3).stream.close()
            return True
        except (OSError, pg_client.Gone, pg_client.Silent):
            return False

    def platform(self, discovery, listen=None, **settings):
        """The platform's configuration of a node, with the limits of a small deployment."""
        classes = [
            {"name": name, "effect": effect, "key-scope": "zone", "window-ns": 2000 * MILLISECOND,
             "on-time-ns": 300 * MILLISECOND, "deadline-ns": 1000 * MILLISECOND, "importance": 1.0}
            for name, effect in (("lobby-status", "repeatable"), ("lobby-join", "by_key"), ("lobby-pay", "once"))]
        return {
            "name": "n1", "listen": f"127.0.0.1:{listen or free_port()}", "discovery": f"127.0.0.1:{discovery}",
            "seed": "5bd1e995c6b4a793", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": True, "targets": []},
            "settings": {
                "az": "dc-a", "zones": ["dc-a", "dc-b", "dc-c"], "kinds": ["standard"], "n-instances": 3,
                "discovery": "pushed", "classes": classes, "goal": {},
                "policy-limits": {
                    "attempts-cap": 4, "may-cancel": True, "second-copies": False, "probes": False,
                    "retry-after": True, "max-retry-after-ns": 1000 * MILLISECOND,
                    "conn-idle-ns": 30_000 * MILLISECOND, "connect-timeout-ns": 100 * MILLISECOND},
                "rules": {
                    "answer-slack-ns": 20 * MILLISECOND, "drain-grace-ns": 500 * MILLISECOND,
                    "fall-ns": 1500 * MILLISECOND, "start-capacity": 0.12, "tip-multiple": 2.5,
                    "warm-after-ns": 24_000 * MILLISECOND},
                **settings}}

    def start_node(self, name, platform, options="", descriptors=None):
        config, folder = self.work / f"{name}.json", self.work / f"{name}.tmp"
        config.write_text(json.dumps(platform))
        folder.mkdir(exist_ok=True)
        self.start(name, run_command() + options, {"EDGE_CONFIG": str(config), "TMPDIR": str(folder)},
                   is_shell=True, descriptors=descriptors)

    # Waiting.
    def wait_for(self, is_true, timeout, what):
        ends = time.monotonic() + timeout
        while not is_true():
            if time.monotonic() > ends:
                raise Unusable(f"not within {timeout} s: {what}")
            time.sleep(0.01)


def is_listening(port):
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
        return True
    except OSError:
        return False


def main(folder, body):
    """Runs `body(case)`, which returns the ways in which the rule was broken, and exits with the result."""
    case = Case(folder)
    code = COULD_NOT_RUN

    def give_up():
        case.note("the case took too long")
        case.end_all()
        shutil.rmtree(case.work, ignore_errors=True)
        os._exit(COULD_NOT_RUN)

    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = body(case)
        codes = {name: process.poll() for name, process in case.processes.items() if name.startswith("node")}
        broken = [*broken, *(f"{name} has ended with {code}" for name, code in codes.items() if code is not None)]
        for way in broken:
            case.note(f"BROKEN: {way}")
        code = BROKEN if broken else HELD
    except Exception as error:  # Anything unforeseen means that the case says nothing about the rule.
        case.note(f"could not run: {error!r}")
        case.note(traceback.format_exc())
    finally:
        case.end_all()
        for path in sorted(case.work.glob("*.runs")):
            case.note(f"statements run by {path.stem}:\n" + re.sub(r"(.)\1{200,}", r"\1...", path.read_text()))
        for path in sorted(case.work.glob("node*.log")):
            case.note(f"log of {path.stem}:\n" + path.read_text(errors="replace")[-4000:].replace(str(case.work), "FOLDER"))
        case.note(f"result: {code}")
        shutil.rmtree(case.work, ignore_errors=True)
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    sys.exit(code)
