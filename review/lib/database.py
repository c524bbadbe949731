"""A stand-in for one PostgreSQL server: protocol 3.0, simple and extended queries, transactions, a few settings.

    python3 database.py PORT STORE

Committed rows are appended to the file STORE, one JSON array per transaction, before the commit is answered; a new
process reads them again. What is not committed dies with the process. Anybody may log in. Statements, one or several:

    BEGIN | COMMIT | ROLLBACK | SELECT 1 | SHOW name | SET [SESSION|LOCAL] name TO value | RESET name
    INSERT INTO races VALUES ('name', 'yyyy-mm-dd hh:mm')     the time is read in the session's TimeZone
    SELECT pg_sleep(seconds) | SELECT pg_catalog.set_config('name','value',false)
    SELECT instants FROM races                                all committed rows, times in UTC

As with PostgreSQL 14 and later, changes of reported settings are told before the ReadyForQuery of the message that
made them, a SET is undone with its transaction, and a SET LOCAL ends with it.
"""

import asyncio
import datetime
import json
import pathlib
import re
import struct
import sys

HOURS = {"utc": 0, "asia/tokyo": 9, "europe/budapest": 1}
REPORTED = {
    "timezone": "TimeZone", "datestyle": "DateStyle", "intervalstyle": "IntervalStyle",
    "client_encoding": "client_encoding", "application_name": "application_name",
    "standard_conforming_strings": "standard_conforming_strings",
    "default_transaction_read_only": "default_transaction_read_only",
}
DEFAULTS = {
    "timezone": "UTC", "datestyle": "ISO, MDY", "intervalstyle": "postgres", "client_encoding": "UTF8",
    "application_name": "", "standard_conforming_strings": "on", "default_transaction_read_only": "off",
}


class SqlError(Exception):
    def __init__(self, code, text):
        super().__init__(text)
        self.code = code


class Store:
    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.touch()

    def rows(self):
        return [row for line in self.path.read_text().splitlines() for row in json.loads(line)]

    def commit(self, rows):
        if rows:
            with open(self.path, "a") as file:
                file.write(json.dumps(rows) + "\n")


def frame(tag, body=b""):
    return tag + struct.pack("!I", len(body) + 4) + body


def text(value):
    return value.encode() + b"\0"


def command_complete(tag):
    return frame(b"C", text(tag))


def rows_message(column, values):
    head = frame(b"T", struct.pack("!H", 1) + text(column) + struct.pack("!IHIhih", 0, 0, 25, -1, -1, 0))
    rows = b"".join(
        frame(b"D", struct.pack("!H", 1) + struct.pack("!I", len(value.encode())) + value.encode()) for value in values
    )
    return head, rows


def error_message(error):
    fields = [("S", "ERROR"), ("V", "ERROR"), ("C", error.code), ("M", str(error))]
    return frame(b"E", b"".join(name.encode() + text(value) for name, value in fields) + b"\0")


class Connection:
    def __init__(self, store, reader, writer):
        self.store, self.reader, self.writer = store, reader, writer
        self.status = "I"
        self.rows = []                       # inserted by the open transaction
        self.session = dict(DEFAULTS)        # settings outside any transaction
        self.at_begin = None                 # settings to restore at a rollback
        self.local = {}                      # SET LOCAL of the open transaction
        self.told = dict(DEFAULTS)
        self.statements, self.portals = {}, {}
        self.skipping = False

    def setting(self, name):
        return self.local.get(name, self.session.get(name, ""))

    # Transactions.

    def begin(self):
        self.rows, self.local, self.at_begin = [], {}, dict(self.session)

    def end(self, commits):
        if commits:
            self.store.commit(self.rows)
        elif self.at_begin is not None:
            self.session = self.at_begin
        self.rows, self.local, self.at_begin, self.status = [], {}, None, "I"

    # Statements. Each returns the message that describes its rows or None, its rows, and its tag.

    async def run(self, sql):
        words = sql.split()
        first = words[0].upper()
        if self.status == "E" and first not in ("COMMIT", "END", "ROLLBACK", "ABORT"):
            raise SqlError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
        if first in ("BEGIN", "START"):
            if self.status == "I":
                if self.at_begin is None:
                    self.begin()
                self.status = "T"
            return None, b"", "BEGIN"
        if first in ("COMMIT", "END"):
            failed = self.status == "E"
            self.end(commits=not failed)
            return None, b"", "ROLLBACK" if failed else "COMMIT"
        if first in ("ROLLBACK", "ABORT"):
            self.end(commits=False)
            return None, b"", "ROLLBACK"
        if self.status == "I" and self.at_begin is None:
            self.begin()                     # of the statement itself; ended by the caller
        if first == "INSERT":
            found = re.fullmatch(r"INSERT INTO races VALUES \('([^']*)', '([^']*)'\)", sql, re.I)
            if not found:
                raise SqlError("42601", f"not understood: {sql}")
            local = datetime.datetime.strptime(found[2], "%Y-%m-%d %H:%M")
            utc = local - datetime.timedelta(hours=HOURS[self.setting("timezone").lower()])
            self.rows.append([found[1], utc.strftime("%Y-%m-%d %H:%MZ")])
            print("inserted", found[1], flush=True)
            return None, b"", "INSERT 0 1"
        if first == "SHOW":
            head, rows = rows_message(words[1], [self.setting(words[1].lower())])
            return head, rows, "SHOW"
        if first == "SET":
            found = re.fullmatch(r"SET (?:(SESSION|LOCAL) )?(\w+) (?:TO|=) '?([^']*)'?", sql, re.I)
            if not found:
                raise SqlError("42601", f"not understood: {sql}")
            scope, name, value = found[1] or "", found[2].lower(), found[3]
            if name == "timezone" and value.lower() not in HOURS:
                raise SqlError("22023", f"invalid value for parameter \"TimeZone\": \"{value}\"")
            if scope.upper() == "LOCAL":
                if self.status == "T":
                    self.local[name] = value
            else:
                self.local.pop(name, None)
                self.session[name] = value
            return None, b"", "SET"
        if first == "RESET":
            name = words[1].strip('"').lower()
            self.session[name] = DEFAULTS.get(name, "")
            return None, b"", "RESET"
        if first == "SELECT":
            return await self.select(sql)
        raise SqlError("42601", f"not understood: {sql}")

    async def select(self, sql):
        found = re.fullmatch(r"SELECT pg_catalog\.set_config\('(\w+)',E?'([^']*)',false\)", sql, re.I)
        if found:
            self.session[found[1].lower()] = found[2]
            return *rows_message("set_config", [found[2]]), "SELECT 1"
        found = re.fullmatch(r"SELECT pg_sleep\(([0-9.]+)\)", sql, re.I)
        if found:
            print("sleeping", flush=True)
            await asyncio.sleep(float(found[1]))
            return *rows_message("pg_sleep", [""]), "SELECT 1"
        if sql.lower() == "select instants from races":
            values = [f"{name} {instant}" for name, instant in self.store.rows()]
            return *rows_message("instants", values), f"SELECT {len(values)}"
        if sql.lower() == "select 1":
            return *rows_message("?column?", ["1"]), "SELECT 1"
        raise SqlError("42601", f"not understood: {sql}")

    # Messages.

    def end_implicit(self, commits):
        """Ends the transaction of statements outside a block."""
        if self.status == "I" and self.at_begin is not None:
            self.end(commits)

    def failed(self, error):
        if self.status == "I":
            self.end_implicit(commits=False)
        else:
            self.status = "E"
        return error_message(error)

    def ready(self):
        out = b""
        for name, spelling in REPORTED.items():
            if self.told[name] != self.setting(name):
                self.told[name] = self.setting(name)
                out += frame(b"S", text(spelling) + text(self.told[name]))
        return out + frame(b"Z", self.status.encode())

    async def query(self, body):
        sql = body[:-1].decode()
        out = b""
        try:
            for statement in filter(None, (part.strip() for part in sql.split(";"))):
                head, rows, tag = await self.run(statement)
                out += (head or b"") + rows + command_complete(tag)
            self.end_implicit(commits=True)
        except SqlError as error:
            out += self.failed(error)
        self.writer.write(out + self.ready())

    async def extended(self, tag, body):
        if self.skipping and tag != b"S":
            return
        try:
            if tag == b"P":
                name, sql, _ = body.split(b"\0", 2)
                self.statements[name] = sql.decode().strip().rstrip(";")
                self.writer.write(frame(b"1"))
            elif tag == b"B":
                portal, statement, _ = body.split(b"\0", 2)
                if statement not in self.statements:
                    raise SqlError("26000", f"prepared statement \"{statement.decode()}\" does not exist")
                self.portals[portal] = self.statements[statement]
                self.writer.write(frame(b"2"))
            elif tag == b"E":
                portal = body.split(b"\0", 1)[0]
                _, rows, done = await self.run(self.portals[portal])
                self.writer.write(rows + command_complete(done))
            elif tag == b"C":
                (self.statements if body[:1] == b"S" else self.portals).pop(body[1:-1], None)
                self.writer.write(frame(b"3"))
            elif tag == b"S":
                self.skipping = False
                self.end_implicit(commits=True)
                self.writer.write(self.ready())
            elif tag == b"D":
                raise SqlError("0A000", "Describe is not part of this stand-in")
        except SqlError as error:
            self.skipping = True
            self.writer.write(self.failed(error))

    async def log_in(self):
        while True:
            length, code = struct.unpack("!II", await self.reader.readexactly(8))
            rest = await self.reader.readexactly(length - 8)
            if code == 80877103:             # SSLRequest
                self.writer.write(b"N")
                continue
            if code == 80877102:             # CancelRequest
                return False
            break
        fields = rest.split(b"\0")
        start = dict(zip(fields[::2], fields[1::2]))
        if b"application_name" in start:
            self.session["application_name"] = self.told["application_name"] = start[b"application_name"].decode()
        fixed = {"server_version": "15.0", "server_encoding": "UTF8", "integer_datetimes": "on", "is_superuser": "off"}
        told = {**fixed, **{spelling: self.told[name] for name, spelling in REPORTED.items()}}
        out = frame(b"R", struct.pack("!I", 0))
        out += b"".join(frame(b"S", text(name) + text(value)) for name, value in told.items())
        out += frame(b"K", struct.pack("!II", 1000, 4711)) + frame(b"Z", b"I")
        self.writer.write(out)
        return True

    async def serve(self):
        try:
            if not await self.log_in():
                return
            while True:
                tag = await self.reader.readexactly(1)
                length = struct.unpack("!I", await self.reader.readexactly(4))[0]
                body = await self.reader.readexactly(length - 4)
                if tag == b"X":
                    return
                if tag == b"Q":
                    await self.query(body)
                elif tag != b"H":
                    await self.extended(tag, body)
                await self.writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writer.close()


async def main():
    store = Store(sys.argv[2])
    server = await asyncio.start_server(
        lambda reader, writer: Connection(store, reader, writer).serve(), "127.0.0.1", int(sys.argv[1])
    )
    print("ready", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
