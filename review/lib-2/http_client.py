"""HTTP requests to the node, each on a new connection."""

import asyncio

# What a client waits beyond its own time: up to half a second late an answer still counts, and 50 ms on sockets.
SLACK_S = 0.55


async def ask(port, ident, budget_ms=500):
    """What became of a request: a status line, "shut" if the node closed the connection, or None if nothing came."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        return f"refused: {error}"
    try:
        writer.write(f"GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {ident}\r\nX-Call-Class: lobby-status\r\n"
                     f"X-Budget-Ms: {budget_ms}\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), budget_ms / 1000 + SLACK_S)
        return line.decode().strip() if line else "shut"
    except ConnectionError as error:
        return f"shut: {error}"
    except TimeoutError:
        return None
    finally:
        writer.close()
