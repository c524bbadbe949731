"""A small PostgreSQL client (protocol 3.0, SCRAM-SHA-256), and the verifier of its password."""

import base64
import hashlib
import hmac
import os
import socket
import struct
import time

SALT = b"a salt of review"
ITERATIONS = 4096


def _hmac(key, text):
    return hmac.new(key, text, hashlib.sha256).digest()


def verifier(password):
    salted = hashlib.pbkdf2_hmac("sha256", password.encode(), SALT, ITERATIONS)
    stored = hashlib.sha256(_hmac(salted, b"Client Key")).digest()
    parts = [base64.b64encode(part).decode() for part in (SALT, stored, _hmac(salted, b"Server Key"))]
    return f"SCRAM-SHA-256${ITERATIONS}:{parts[0]}${parts[1]}:{parts[2]}"


class Gone(Exception):
    """The node closed the connection."""


class Silent(Exception):
    """Nothing came in time."""


def message(tag, body=b""):
    return tag + struct.pack("!i", len(body) + 4) + body


def query(sql):
    return message(b"Q", sql.encode() + b"\0")


def parse(sql, name=""):
    return message(b"P", name.encode() + b"\0" + sql.encode() + b"\0" + struct.pack("!h", 0))


def bind(name="", portal=""):
    return message(b"B", portal.encode() + b"\0" + name.encode() + b"\0" + struct.pack("!hhh", 0, 0, 0))


def describe_statement(name=""):
    return message(b"D", b"S" + name.encode() + b"\0")


def execute(portal=""):
    return message(b"E", portal.encode() + b"\0" + struct.pack("!i", 0))


SYNC = message(b"S")
FLUSH = message(b"H")


def statement(sql):
    return parse(sql) + bind() + execute()


class Client:
    def __init__(self, port, user="ratings", password="secret", database="ratings", timeout=5):
        self.buffer = b""
        self.parameters = {}
        self.stream = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack("!i", 196608)
        for name, value in (("user", user), ("database", database), ("client_encoding", "UTF8")):
            body += name.encode() + b"\0" + value.encode() + b"\0"
        body += b"\0"
        self.stream.sendall(struct.pack("!i", len(body) + 4) + body)
        self._authenticate(password, timeout)

    def _authenticate(self, password, timeout):
        nonce = base64.b64encode(os.urandom(18)).decode()
        first = f"n=,r={nonce}"
        while True:
            tag, body = self.receive(timeout)
            if tag == b"E":
                raise OSError(f"log-in refused: {body!r}")
            if tag == b"Z":
                return
            if tag != b"R":
                continue
            code = struct.unpack("!i", body[:4])[0]
            if code == 10:
                sent = ("n,," + first).encode()
                self.send(message(b"p", b"SCRAM-SHA-256\0" + struct.pack("!i", len(sent)) + sent))
            elif code == 11:
                server = body[4:].decode()
                fields = dict(part.split("=", 1) for part in server.split(","))
                salted = hashlib.pbkdf2_hmac("sha256", password.encode(), base64.b64decode(fields["s"]),
                                             int(fields["i"]))
                key = _hmac(salted, b"Client Key")
                without = f"c=biws,r={fields['r']}"
                signed = f"{first},{server},{without}".encode()
                proof = bytes(a ^ b for a, b in zip(key, _hmac(hashlib.sha256(key).digest(), signed)))
                self.send(message(b"p", f"{without},p={base64.b64encode(proof).decode()}".encode()))

    def send(self, data):
        self.stream.settimeout(10)
        self.stream.sendall(data)

    def receive(self, timeout):
        """The next message as (tag, body)."""
        ends = time.monotonic() + timeout
        while True:
            if len(self.buffer) >= 5:
                length = struct.unpack("!i", self.buffer[1:5])[0]
                if len(self.buffer) > length:
                    tag, body = self.buffer[:1], self.buffer[5:length + 1]
                    self.buffer = self.buffer[length + 1:]
                    if tag == b"S":
                        name, value = body.split(b"\0")[:2]
                        self.parameters[name.decode()] = value.decode()
                    return tag, body
            left = ends - time.monotonic()
            if left <= 0:
                raise Silent
            self.stream.settimeout(left)
            try:
                data = self.stream.recv(65536)
            except TimeoutError:
                raise Silent from None
            except OSError as error:
                raise Gone(str(error)) from None
            if not data:
                raise Gone("end of the connection")
            self.buffer += data

    def answer(self, timeout, until=b"Z"):
        """The messages up to one of the tags in `until`, as a list of short texts."""
        ends, got = time.monotonic() + timeout, []
        while True:
            tag, body = self.receive(max(0.0, ends - time.monotonic()))
            got.append(describe(tag, body))
            if tag in [until[index:index + 1] for index in range(len(until))]:
                return got

    def run(self, sql, timeout=5):
        self.send(query(sql))
        return self.answer(timeout)


def describe(tag, body):
    if tag == b"E":
        fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
        return f"error {fields.get(b'C')}: {fields.get(b'M')}"
    if tag == b"Z":
        return f"ready {body.decode()}"
    if tag == b"C":
        return f"done {body[:-1].decode()}"
    if tag == b"D":
        cells, at = [], 2
        for _ in range(struct.unpack("!h", body[:2])[0]):
            length = struct.unpack("!i", body[at:at + 4])[0]
            cells.append(body[at + 4:at + 4 + length].decode())
            at += 4 + length
        return f"row {cells}"
    names = {b"1": "parsed", b"2": "bound", b"3": "closed", b"T": "columns", b"n": "no columns", b"t": "parameters",
             b"S": "setting", b"N": "notice", b"I": "empty"}
    text = names.get(tag, repr(tag))
    return f"{text} {body.split(bytes(1))[0].decode()}={body.split(bytes(1))[1].decode()}" if tag == b"S" else text
