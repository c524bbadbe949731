"""An insert that its client abandoned is committed by another client, and so applied twice: see claim.txt."""

import asyncio
import pathlib

from harness import CouldNotRun, free_port, main, platform_config, start_discovery
from postgres import FLUSH, SYNC, Client, Database, operators_file, statements

JOIN = "INSERT INTO races VALUES ('join', '2026-12-04 20:00')"
OTHER = "INSERT INTO races VALUES ('other', '2026-12-04 21:00')"


async def case(run):
    listen, discovery, postgres = free_port(), free_port(), free_port()
    database = Database(run)
    await database.start()
    agent = await start_discovery(discovery, [])
    operators = operators_file(run, postgres, database.port, deadline_ms=10_000)
    await run.start_node(platform_config(listen, discovery, []), operators)

    other = await Client.connect(run, postgres, "other client")
    first = await Client.connect(run, postgres, "first client")
    # The client asks for the answer to its insert before it ends the implicit transaction with a Sync.
    first.send(statements(JOIN) + FLUSH, [JOIN, "Flush"])
    if (await first.answer(within_s=10, up_to=b"C"))["tags"] != ["INSERT 0 1"]:
        raise CouldNotRun("the insert was not answered")
    if run.trouble:
        first.leave()
        await asyncio.sleep(0.3)
    else:
        first.send(SYNC, "Sync")
        await first.answer(within_s=10)
    run.note("committed", rows=database.names())

    if (await other.execute(OTHER))["errors"]:
        raise CouldNotRun("the other client's insert failed")
    run.note("committed after the other client's insert", rows=database.names())
    if run.trouble:
        # No Sync was sent, so nothing is committed, and the client may try again.
        again = await Client.connect(run, postgres, "first client again")
        again.send(statements(JOIN) + SYNC, [JOIN, "Sync"])
        if (await again.answer(within_s=10))["errors"]:
            raise CouldNotRun("the second try failed")
    rows = database.names()
    run.note("committed at the end", rows=rows)
    agent.close()
    if rows.count("other") != 1 or "join" not in rows:
        raise CouldNotRun(f"committed were {rows}")
    return rows.count("join") == 1


main(pathlib.Path(__file__).parent, case)
