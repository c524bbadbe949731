#!/usr/bin/env python3
"""Runs each test cell with Python drivers through the node and directly against a fake database, and compares outcomes.

Started by run.sh, which installs the packages. The argument is the JSON line that `badgerpost-rehearse up postgres`
prints.
"""

import asyncio
import json
import sys
import threading
import time

import asyncpg
import pg8000.dbapi
import psycopg

STAGE = json.loads(sys.argv[1])["postgres"]


def place(direct):
    at = STAGE["databases"][0] if direct else STAGE["listen"]
    host, port = at.rsplit(":", 1)
    user = STAGE["databases_user"] if direct else STAGE["user"]
    password = STAGE["databases_password"] if direct else STAGE["password"]
    return dict(host=host, port=int(port), user=user, password=password)


def psycopg_connect(direct, **more):
    return psycopg.connect(dbname=STAGE["database"], autocommit=True, **place(direct), **more)


def p_simple(direct):
    with psycopg_connect(direct) as c:
        return c.execute("SELECT 1, 'x', NULL").fetchall()


def p_extended(direct):
    with psycopg_connect(direct) as c:
        return c.execute("SELECT %s::int8, %s::text, %s::float8", (7, "y", 1.5)).fetchall()


def p_named(direct):
    with psycopg_connect(direct) as c:
        c.prepare_threshold = 0
        return [c.execute("SELECT %s::int8 + 1", (n,)).fetchone() for n in range(200)][-1]


def p_pipeline(direct):
    with psycopg_connect(direct) as c, c.pipeline():
        cursors = [c.execute("SELECT %s::int8", (n,)) for n in range(20)]
        return [cursor.fetchone()[0] for cursor in cursors]


def p_copy_in(direct):
    with psycopg_connect(direct) as c, c.transaction():
        c.execute("CREATE TEMP TABLE py_copy (a int, b text)")
        with c.cursor() as cur:
            with cur.copy("COPY py_copy FROM STDIN") as copy:
                for n in range(100):
                    copy.write_row((n, f"row {n}"))
        return c.execute("SELECT count(*), max(b) FROM py_copy").fetchall()


def p_copy_out(direct):
    with psycopg_connect(direct) as c, c.cursor() as cur:
        with cur.copy("COPY (SELECT n FROM generate_series(1, 50) n) TO STDOUT") as copy:
            return [row for row in copy.rows()][-1]


def p_cursor(direct):
    with psycopg_connect(direct) as c, c.transaction():
        with c.cursor(name="cur") as cur:
            cur.execute("SELECT n FROM generate_series(1, 1000) n")
            return [cur.fetchone(), len(cur.fetchmany(100)), len(cur.fetchall())]


def p_cancel(direct):
    with psycopg_connect(direct) as c:
        threading.Timer(0.2, c.cancel).start()
        try:
            c.execute("SELECT pg_sleep(20)")
        except psycopg.errors.QueryCanceled as e:
            return [e.sqlstate, c.execute("SELECT 1").fetchone()]


def p_savepoint(direct):
    with psycopg_connect(direct) as c, c.transaction():
        c.execute("CREATE TEMP TABLE py_save (a int)")
        c.execute("INSERT INTO py_save VALUES (1)")
        try:
            with c.transaction():
                c.execute("INSERT INTO py_save VALUES (2)")
                c.execute("SELECT nothing")
        except psycopg.errors.UndefinedColumn:
            pass
        return c.execute("SELECT a FROM py_save").fetchall()


def p_large(direct):
    with psycopg_connect(direct) as c:
        rows = c.execute("SELECT repeat('x', 1000) FROM generate_series(1, 20000)").fetchall()
        return [len(rows), sum(len(r[0]) for r in rows)]


def p_settings(direct):
    more = dict(options="-c search_path=tenant7 -c statement_timeout=50", application_name="matrix")
    with psycopg_connect(direct, **more) as c:
        shown = [c.execute(f"SHOW {name}").fetchone()[0] for name in ("search_path", "statement_timeout", "application_name")]
        try:
            c.execute("SELECT pg_sleep(5)")
        except psycopg.errors.QueryCanceled as e:
            return shown + [e.sqlstate]


def p_error(direct):
    with psycopg_connect(direct) as c:
        out = []
        for sql in ("SELECT nothing", "no sql", "SELECT * FROM nowhere", "SELECT 1/0"):
            try:
                c.execute(sql)
            except psycopg.Error as e:
                out.append(e.sqlstate)
        return out


def p_version(direct):
    with psycopg_connect(direct) as c:
        return [c.info.server_version, c.info.parameter_status("TimeZone"), c.info.parameter_status("DateStyle")]


def pg8000_connect(direct):
    return pg8000.dbapi.connect(database=STAGE["database"], **place(direct))


def g_transaction(direct):
    c = pg8000_connect(direct)
    cur = c.cursor()
    cur.execute("CREATE TEMP TABLE g (a int, b text)")
    cur.executemany("INSERT INTO g VALUES (%s, %s)", [(1, "a"), (2, "b")])
    cur.execute("SELECT * FROM g ORDER BY a")
    rows = [list(row) for row in cur.fetchall()]
    c.rollback()
    c.close()
    return rows


def g_error(direct):
    c = pg8000_connect(direct)
    cur = c.cursor()
    try:
        cur.execute("SELECT nothing")
    except pg8000.dbapi.DatabaseError as e:
        code = e.args[0]["C"]
    c.rollback()
    cur.execute("SELECT 5")
    rows = [list(row) for row in cur.fetchall()]
    c.close()
    return [code, rows]


def asyncpg_cell(work):
    def cell(direct):
        async def go():
            c = await asyncpg.connect(database=STAGE["database"], **place(direct))
            try:
                return await work(c)
            finally:
                await c.close()
        return asyncio.run(go())
    return cell


async def a_fetch(c):
    return [tuple(r) for r in await c.fetch("SELECT $1::int8, $2::text, $3::bool", 3, "z", True)]


async def a_prepared(c):
    s = await c.prepare("SELECT $1::int4 * 2")
    return [await s.fetchval(n) for n in range(50)][-1]


async def a_types(c):
    import datetime
    import decimal
    import uuid
    values = [
        ("int2", 5), ("int4", -6), ("int8", 1 << 40), ("float8", 2.5), ("numeric", decimal.Decimal("12.340")),
        ("bool", False), ("text", "naïve"), ("bytea", b"\x00\xff"), ("uuid", uuid.UUID(int=7)),
        ("date", datetime.date(2026, 12, 1)), ("int4[]", [1, 2, 3]), ("text[]", ["a b", "c"]),
        ("timestamptz", datetime.datetime(2026, 12, 1, 10, 0, tzinfo=datetime.timezone.utc)),
    ]
    return [repr(await c.fetchval(f"SELECT $1::{kind}", value)) for kind, value in values]


async def a_transaction(c):
    async with c.transaction():
        await c.execute("CREATE TEMP TABLE a (x int)")
        await c.executemany("INSERT INTO a VALUES ($1)", [(n,) for n in range(10)])
        try:
            async with c.transaction():
                await c.execute("INSERT INTO a VALUES (99)")
                raise ValueError
        except ValueError:
            pass
        return await c.fetchval("SELECT count(*) FROM a")


async def a_cursor(c):
    async with c.transaction():
        out = []
        async for record in c.cursor("SELECT n FROM generate_series(1, 300) n", prefetch=50):
            out.append(record[0])
        return [len(out), out[-1]]


async def a_copy(c):
    async with c.transaction():
        await c.execute("CREATE TEMP TABLE ac (x int, y text)")
        await c.execute("INSERT INTO ac VALUES (1, 'one')")
        return await c.fetchval("SELECT y FROM ac WHERE x = 1")


async def a_wrong_argument(c):
    # The driver rejects the argument after describing the statement; the transaction stays usable.
    tr = c.transaction()
    await tr.start()
    try:
        await c.fetchval("SELECT $1::int4", "no number")
    except asyncpg.DataError:
        pass
    await tr.rollback()
    return await c.fetchval("SELECT 8")


async def a_reset(c):
    await c.reset()
    return await c.fetchval("SELECT 9")


async def a_timeout(c):
    try:
        await c.execute("SELECT pg_sleep(20)", timeout=0.2)
    except asyncio.TimeoutError:
        pass
    return await c.fetchval("SELECT 10")


CELLS = [(f"psycopg {n[2:]}", f) for n, f in list(globals().items()) if n.startswith("p_")]
CELLS += [(f"pg8000 {n[2:]}", f) for n, f in list(globals().items()) if n.startswith("g_")]
CELLS += [(f"asyncpg {n[2:]}", asyncpg_cell(f)) for n, f in list(globals().items()) if n.startswith("a_")]


def outcome(cell, direct):
    try:
        return repr(cell(direct))
    except Exception as e:  # errors of drivers are outcomes too
        return f"{type(e).__name__}: {e}".strip()


def main():
    wrong = 0
    for name, cell in CELLS:
        began = time.time()
        direct, through = outcome(cell, True), outcome(cell, False)
        same = direct == through and "Error" not in direct.split(":")[0]
        wrong += not same
        print(f"{'same' if same else 'DIFFERENT':9} {name:24} {time.time() - began:5.2f} s  {direct[:60]}")
        if not same:
            print(f"   directly: {direct[:400]}\n   through:  {through[:400]}")
    print(f"python: {len(CELLS)} cells, {wrong} different")
    sys.exit(1 if wrong else 0)


main()
