"""A PostgreSQL client (SCRAM-SHA-256, simple and extended queries), and the operators' file for a node before one
database."""

import asyncio
import base64
import hashlib
import hmac
import json
import os
import struct
import sys

from harness import LIB, CouldNotRun, free_port

USER, PASSWORD = "matchmaker", "review"


def scram_keys(salt, rounds=4096):
    salted = hashlib.pbkdf2_hmac("sha256", PASSWORD.encode(), salt, rounds)
    client_key = hmac.digest(salted, b"Client Key", "sha256")
    return client_key, hashlib.sha256(client_key).digest(), hmac.digest(salted, b"Server Key", "sha256")


def operators_file(run, listen_port, database_port, deadline_ms, extra=""):
    """The section [postgres] of one database, one login and one class; the rest stays at its default."""
    salt = os.urandom(16)
    _, stored, server = scram_keys(salt)
    encode = lambda value: base64.b64encode(value).decode()
    users, password = run.temporary / "users", run.temporary / "password"
    for path, content in (
        (users, f"{USER} SCRAM-SHA-256$4096:{encode(salt)}${encode(stored)}:{encode(server)}\n"),
        (password, "node\n"),
    ):
        path.write_text(content)
        path.chmod(0o600)
    return f"""
[postgres]
listen = "127.0.0.1:{listen_port}"
zone = "dc-a"
users = "{users}"
{extra}
[[postgres.login]]
user = "node"
password_file = "{password}"
[[postgres.server]]
name = "db1"
address = "127.0.0.1:{database_port}"
zone = "dc-a"
[[postgres.class]]
name = "rating"
aim_ms = 200
deadline_ms = {deadline_ms}
"""


class Database:
    """The stand-in database as a process that can be killed, stopped and started again at its port."""

    def __init__(self, run, port=None):
        self.run, self.port = run, port or free_port()
        self.store = run.temporary / "store"
        self.starts = 0
        self.process = None

    @property
    def name(self):
        return f"database-{self.starts}"

    async def start(self):
        self.starts += 1
        command = [sys.executable, str(LIB / "database.py"), str(self.port), str(self.store)]
        self.process = await self.run.spawn(self.name, command)
        await self.logged("ready")

    async def logged(self, line, within_s=10):
        """Waits for a line in the log of the running process."""
        for _ in range(int(within_s * 200)):
            if line in self.run.log(self.name).splitlines():
                return
            await asyncio.sleep(0.005)
        raise CouldNotRun(f"the database has not logged {line!r}: {self.run.log(self.name)}")

    def signal(self, number):
        self.run.note("signal to the database", signal=number.name)
        self.process.send_signal(number)

    def rows(self):
        """All committed rows, in the order of their commits."""
        return [row for line in self.store.read_text().splitlines() for row in json.loads(line)]

    def names(self):
        return [name for name, _ in self.rows()]


def frame(tag, body=b""):
    return tag + struct.pack("!I", len(body) + 4) + body


def query(sql):
    """A simple query."""
    return frame(b"Q", sql.encode() + b"\0")


def statements(*texts):
    """Extended queries of the unnamed statement, without a Sync."""
    out = b""
    for sql in texts:
        out += frame(b"P", b"\0" + sql.encode() + b"\0" + struct.pack("!H", 0))
        out += frame(b"B", b"\0\0" + struct.pack("!HHH", 0, 0, 0))
        out += frame(b"E", b"\0" + struct.pack("!I", 0))
    return out


SYNC = frame(b"S")
FLUSH = frame(b"H")


class Client:
    """One session. `answer` reads up to the next ReadyForQuery, or to the next message of another type."""

    @classmethod
    async def connect(cls, run, port, name="client"):
        self = cls()
        self.run, self.name = run, name
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        start = b"".join(word.encode() + b"\0" for word in ("user", USER, "database", "ratings")) + b"\0"
        self.writer.write(struct.pack("!II", len(start) + 8, 196608) + start)
        await self._log_in()
        await self.answer(within_s=10)
        return self

    async def _log_in(self):
        nonce = base64.b64encode(os.urandom(18)).decode()
        bare = f"n=,r={nonce}"
        await self._authentication(10)
        first = f"n,,{bare}".encode()
        self.writer.write(frame(b"p", b"SCRAM-SHA-256\0" + struct.pack("!I", len(first)) + first))
        challenge = (await self._authentication(11)).decode()
        fields = dict(part.split("=", 1) for part in challenge.split(","))
        client_key, stored, _ = scram_keys(base64.b64decode(fields["s"]), int(fields["i"]))
        without_proof = f"c=biws,r={fields['r']}"
        signature = hmac.digest(stored, f"{bare},{challenge},{without_proof}".encode(), "sha256")
        proof = bytes(one ^ other for one, other in zip(client_key, signature))
        self.writer.write(frame(b"p", f"{without_proof},p={base64.b64encode(proof).decode()}".encode()))
        await self._authentication(12)
        await self._authentication(0)

    async def _authentication(self, code):
        tag, body = await self._message()
        if tag != b"R" or struct.unpack("!I", body[:4])[0] != code:
            raise CouldNotRun(f"log-in: {tag} {body}")
        return body[4:]

    async def _message(self):
        head = await self.reader.readexactly(5)
        return head[:1], await self.reader.readexactly(struct.unpack("!I", head[1:])[0] - 4)

    def send(self, data, what):
        self.run.note(f"{self.name} sends", what=what)
        self.writer.write(data)

    def leave(self):
        self.run.note(f"{self.name} leaves")
        self.writer.close()

    async def answer(self, within_s, up_to=b"Z"):
        """What came up to a message of type `up_to`: tags, rows, errors, reports, status; None if it did not come in
        time. The end of the connection is status 'closed'."""
        got = {"tags": [], "rows": [], "errors": [], "settings": {}, "status": None}
        try:
            async with asyncio.timeout(within_s):
                tag = None
                while tag != up_to:
                    tag, body = await self._message()
                    if tag == b"C":
                        got["tags"].append(body[:-1].decode())
                    elif tag == b"D":
                        got["rows"].append(body[6:].decode())
                    elif tag == b"E":
                        fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                        got["errors"].append(f"{fields[b'C']} {fields[b'M']}")
                    elif tag == b"S":
                        name, value = body[:-1].split(b"\0")
                        got["settings"][name.decode()] = value.decode()
                    elif tag == b"Z":
                        got["status"] = body.decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            got["status"] = "closed"
        except TimeoutError:
            self.run.note(f"{self.name}: no answer", within_s=within_s, so_far=got["errors"] + got["tags"])
            return None
        told = {name: value for name, value in got.items() if value and not (name == "settings" and len(value) > 5)}
        self.run.note(f"{self.name} was answered", **told)
        return got

    async def execute(self, sql, within_s=10):
        self.send(query(sql), sql)
        return await self.answer(within_s)
