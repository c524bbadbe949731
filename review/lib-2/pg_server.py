"""A small stand-in for a PostgreSQL server, written from the public description of the protocol (version 3.0).

    pg_server.py PORT STORE LOG [--commit-delay-ms N]

It speaks the simple and the extended query protocol, keeps transactions and settings as the documentation describes,
and needs no password. STORE receives a line with the label of each row when its transaction is committed, before the
client is answered, and is read again at the next start. LOG receives a line for each statement that is executed.
"""

import os
import re
import socket
import struct
import sys
import threading
import time

REPORTED = {
    "application_name": "", "client_encoding": "UTF8", "DateStyle": "ISO, MDY", "default_transaction_read_only": "off",
    "IntervalStyle": "postgres", "standard_conforming_strings": "on", "TimeZone": "UTC",
}
FIXED = {"server_version": "16.4", "server_encoding": "UTF8", "integer_datetimes": "on", "in_hot_standby": "off",
         "is_superuser": "off", "session_authorization": "node"}
BY_LOWER = {name.lower(): name for name in REPORTED}
ENDS = ("COMMIT", "END", "ROLLBACK", "ABORT", "ROLLBACK AND CHAIN", "COMMIT AND CHAIN")
LOCK = threading.Lock()


class SqlError(Exception):
    def __init__(self, code, text):
        super().__init__(text)
        self.code, self.text = code, text


class Closed(Exception):
    pass


def canonical(name):
    name = name.strip().strip('"').lower()
    return BY_LOWER.get(name, name)


def unquote(text):
    text = text.strip()
    if text[:1] in "Ee" and text[1:2] == "'":
        text = text[1:]
    return text[1:-1].replace("''", "'") if text[:1] == "'" else text


class Server:
    def __init__(self, store, log, commit_delay):
        self.store, self.log_path, self.commit_delay = store, log, commit_delay
        self.next_pid = 1000

    def log(self, pid, text):
        with LOCK, open(self.log_path, "a") as log:
            log.write(f"{time.time():.3f} pid={pid} {text}\n")

    def commit(self, rows):
        if rows:
            with LOCK, open(self.store, "a") as store:
                store.write("".join(row + "\n" for row in rows))
                store.flush()
                os.fsync(store.fileno())
            # As with synchronous replication: the commit is durable, the answer follows later.
            time.sleep(self.commit_delay)


class Connection:
    def __init__(self, server, stream):
        self.server, self.stream, self.out, self.buffer = server, stream, b"", b""
        with LOCK:
            server.next_pid += 1
            self.pid = server.next_pid
        self.values = dict(REPORTED)
        self.told = dict(REPORTED)
        self.status = "I"
        self.rows, self.saved, self.local = [], None, {}
        self.prepared, self.portals = {}, {}

    # The wire.
    def read(self, count):
        while len(self.buffer) < count:
            data = self.stream.recv(65536)
            if not data:
                raise Closed
            self.buffer += data
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def put(self, tag, body=b""):
        self.out += tag + struct.pack("!i", len(body) + 4) + body

    def flush(self):
        data, self.out = self.out, b""
        if data:
            self.stream.sendall(data)

    def put_status(self, name, value):
        self.put(b"S", name.encode() + b"\0" + value.encode() + b"\0")

    def put_ready(self):
        for name, value in self.values.items():
            if name in REPORTED and self.told[name] != value:
                self.told[name] = value
                self.put_status(name, value)
        self.put(b"Z", self.status.encode())
        self.flush()

    def put_error(self, error):
        fields = (("S", "ERROR"), ("V", "ERROR"), ("C", error.code), ("M", error.text))
        self.put(b"E", b"".join(kind.encode() + text.encode() + b"\0" for kind, text in fields) + b"\0")

    # Transactions.
    def begin_if_needed(self):
        if self.saved is None:
            self.saved, self.rows, self.local = dict(self.values), [], {}

    def end(self, commits):
        if self.saved is None:
            return
        saved, rows = self.saved, self.rows
        self.saved, self.rows = None, []
        if commits:
            for name, value in self.local.items():
                self.values[name] = value
            self.local = {}
            self.server.commit(rows)
        else:
            self.values, self.local = saved, {}
        self.portals = {}

    def fail(self):
        if self.status == "T":
            self.status = "E"
        elif self.status == "I":
            self.end(False)

    def execute(self, sql):
        """Executes one statement. Returns (columns, rows, tag)."""
        sql = sql.strip()
        upper = " ".join(sql.upper().split())
        self.server.log(self.pid, f"run {sql}")
        ends = upper in ENDS
        if self.status == "E" and not ends:
            raise SqlError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
        if upper.startswith(("BEGIN", "START TRANSACTION")):
            self.begin_if_needed()
            self.status = "T"
            return None, [], "BEGIN"
        if chain := re.fullmatch(r"(ROLLBACK|COMMIT) AND CHAIN", upper):
            if self.status == "I":
                raise SqlError("25P01", f"{upper} can only be used in transaction blocks")
            commits = chain[1] == "COMMIT" and self.status != "E"
            self.end(commits)
            self.begin_if_needed()
            self.status = "T"
            return None, [], "COMMIT" if commits else "ROLLBACK"
        if ends:
            commits = upper in ("COMMIT", "END") and self.status != "E"
            self.end(commits)
            self.status = "I"
            return None, [], "COMMIT" if commits else "ROLLBACK"
        self.begin_if_needed()
        if found := re.fullmatch(r"INSERT INTO (\w+) VALUES \('([^']*)'\)", sql):
            if self.values["default_transaction_read_only"] == "on":
                raise SqlError("25006", "cannot execute INSERT in a read-only transaction")
            self.rows.append(found[2])
            return None, [], "INSERT 0 1"
        if found := re.fullmatch(r"SELECT pg_sleep\(([0-9.]+)\)", sql):
            time.sleep(float(found[1]))
            return ["pg_sleep"], [[""]], "SELECT 1"
        if found := re.fullmatch(r"SELECT pg_catalog\.set_config\('([^']*)',(E?'.*'),false\)", sql):
            return ["set_config"], [[self.set(found[1], unquote(found[2]), False)]], "SELECT 1"
        if found := re.fullmatch(r"SELECT ([0-9]+)", sql):
            return ["?column?"], [[found[1]]], "SELECT 1"
        if found := re.fullmatch(r"SHOW (\w+)", sql):
            name = canonical(found[1])
            if name not in self.values:
                raise SqlError("42704", f"unrecognized configuration parameter {name}")
            return [name], [[self.values[name]]], "SHOW"
        if found := re.fullmatch(r"SET (LOCAL |SESSION )?(\w+)(?: TO | = |=)(.+)", sql, re.I):
            self.set(found[2], unquote(found[3]), (found[1] or "").strip().upper() == "LOCAL")
            return None, [], "SET"
        if found := re.fullmatch(r"RESET (.+)", sql, re.I):
            name = canonical(found[1])
            self.set(name, REPORTED.get(name, ""), False)
            return None, [], "RESET"
        if upper.startswith("LISTEN "):
            return None, [], "LISTEN"
        raise SqlError("42601", f"this stand-in does not know: {sql}")

    def set(self, name, value, is_local):
        name = canonical(name)
        if is_local and self.status == "T":
            self.local.setdefault(name, self.values.get(name, ""))
        elif not is_local:
            self.local.pop(name, None)
        self.values[name] = value
        return value

    def put_rows(self, result, describes):
        columns, rows, tag = result
        if columns and describes:
            self.put_description(columns)
        for row in rows if columns else []:
            cells = b"".join(struct.pack("!i", len(cell.encode())) + cell.encode() for cell in row)
            self.put(b"D", struct.pack("!h", len(row)) + cells)
        self.put(b"C", tag.encode() + b"\0")

    def put_description(self, columns):
        fields = b"".join(name.encode() + b"\0" + struct.pack("!ihihih", 0, 0, 25, -1, -1, 0) for name in columns)
        self.put(b"T", struct.pack("!h", len(columns)) + fields)

    # Messages.
    def start_up(self):
        while True:
            length, code = struct.unpack("!ii", self.read(8))
            body = self.read(length - 8)
            if code in (80877103, 80877104):
                self.stream.sendall(b"N")
            elif code == 80877102:
                raise Closed
            else:
                break
        words = body.split(b"\0")
        for name, value in zip(words[::2], words[1::2]):
            if canonical(name.decode()) in REPORTED:
                self.values[canonical(name.decode())] = value.decode()
        self.put(b"R", struct.pack("!i", 0))
        for name, value in {**FIXED, **self.values}.items():
            self.put_status(name, value)
        self.told = dict(self.values)
        self.put(b"K", struct.pack("!ii", self.pid, 4711))
        self.put_ready()

    def run(self):
        try:
            self.start_up()
            skips = False
            while True:
                tag = self.read(1)
                body = self.read(struct.unpack("!i", self.read(4))[0] - 4)
                if tag == b"X":
                    return
                if tag == b"Q":
                    self.query(body[:-1].decode())
                elif tag == b"S":
                    skips = False
                    if self.status == "I":
                        self.end(True)
                    self.put_ready()
                elif tag == b"H":
                    self.flush()
                elif not skips:
                    try:
                        self.extended(tag, body)
                    except SqlError as error:
                        self.put_error(error)
                        self.fail()
                        skips = True
        except (Closed, OSError):
            pass
        finally:
            self.stream.close()

    def query(self, text):
        statements = [part for part in text.split(";") if part.strip()]
        try:
            if not statements:
                self.put(b"I")
            for statement in statements:
                self.put_rows(self.execute(statement), True)
                if self.status == "I" and statement is statements[-1]:
                    self.end(True)
        except SqlError as error:
            self.put_error(error)
            self.fail()
        self.prepared.pop("", None)
        self.put_ready()

    def columns_of(self, sql):
        upper = sql.strip().upper()
        if found := re.match(r"SHOW (\w+)", upper):
            return [canonical(found[1])]
        return ["?column?"] if upper.startswith("SELECT") else None

    def check_usable(self, sql):
        upper = sql.strip().upper()
        if self.status == "E" and upper not in ENDS:
            raise SqlError("25P02", "current transaction is aborted, commands ignored until end of transaction block")

    def extended(self, tag, body):
        words = body.split(b"\0")
        if tag == b"P":
            name, sql = words[0].decode(), words[1].decode()
            self.check_usable(sql)
            if name and name in self.prepared:
                raise SqlError("42P05", f'prepared statement "{name}" already exists')
            self.prepared[name] = sql
            self.put(b"1")
        elif tag == b"B":
            portal, name = words[0].decode(), words[1].decode()
            if name not in self.prepared:
                raise SqlError("26000", f'prepared statement "{name}" does not exist')
            self.check_usable(self.prepared[name])
            self.portals[portal] = self.prepared[name]
            self.put(b"2")
        elif tag == b"D":
            kind, name = body[:1], body[1:-1].decode()
            found = (self.prepared if kind == b"S" else self.portals).get(name)
            if found is None:
                raise SqlError("26000" if kind == b"S" else "34000", f'"{name}" does not exist')
            if kind == b"S":
                self.put(b"t", struct.pack("!h", 0))
            columns = self.columns_of(found)
            self.put_description(columns) if columns else self.put(b"n")
        elif tag == b"E":
            portal = words[0].decode()
            if portal not in self.portals:
                raise SqlError("34000", f'portal "{portal}" does not exist')
            self.put_rows(self.execute(self.portals[portal]), False)
        elif tag == b"C":
            (self.prepared if body[:1] == b"S" else self.portals).pop(body[1:-1].decode(), None)
            self.put(b"3")
        else:
            raise SqlError("0A000", f"message {tag!r}")


def main():
    port, store, log = int(sys.argv[1]), sys.argv[2], sys.argv[3]
    delay = int(sys.argv[5]) / 1000 if len(sys.argv) > 5 else 0
    server = Server(store, log, delay)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(64)
    while True:
        stream, _ = listener.accept()
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=Connection(server, stream).run, daemon=True).start()


if __name__ == "__main__":
    main()
