import asyncio, os, socket, sys, time
from harness import *
SIZE = int(os.environ.get("SIZE", 4*1024*1024))
RATE = int(os.environ.get("RATE", 64*1024))

async def case(run):
    bport, dport, lport = free_port(), free_port(), free_port()
    body = bytes(range(256)) * (SIZE // 256)
    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                run.note("server got", head=head.split(b"\r\n")[0].decode())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load-Report: {\"load_share\":0.1}\r\n\r\n" % len(body))
                writer.write(body)
                await writer.drain()
                run.note("server: drained")
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            run.note("server conn end", e=repr(e))
        finally:
            writer.close()
    srv = await asyncio.start_server(serve, "127.0.0.1", bport)
    targets = [target("s-1", bport)]
    disc = await start_discovery(dport, targets)
    node = await run.start_node(platform_config(lport, dport, targets))
    loop = asyncio.get_running_loop()
    s = socket.socket(); s.setblocking(False)
    await loop.sock_connect(s, ("127.0.0.1", lport))
    await loop.sock_sendall(s, b"GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Call-Class: lobby-status\r\nX-Budget-Ms: 500\r\n\r\n")
    data = b""; began = time.monotonic()
    got = 0; head = b""
    while True:
        try:
            piece = await loop.sock_recv(s, 6554 if run.trouble else 65536)
        except ConnectionError as e:
            run.note("client error", e=repr(e), got=got); break
        if not piece:
            run.note("client eof", got=got); break
        if not head: run.note("head", head=piece[:200].decode(errors="replace"))
        head = head or piece
        got += len(piece)
        if run.trouble:
            target_time = began + got / RATE
            if time.monotonic() - began < float(os.environ.get("SLOW_S", 50)):
                await asyncio.sleep(max(0, target_time - time.monotonic()))
        hl = head.index(b"\r\n\r\n") + 4
        if got - hl >= SIZE: break
    run.note("result", got=got, size=SIZE)
    print(got, SIZE, run.log("node-0")[-500:])
    return got - hl >= SIZE
main(os.path.dirname(os.path.abspath(__file__)), case)
