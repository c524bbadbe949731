"""A small stand-in for a match server: answers each request with 200 and the request's id, after some milliseconds.

    http_backend.py PORT [WORK_MS [EVERY LATE_MS]]

With EVERY and LATE_MS each EVERYth answer is followed by a second one, a copy of the first, LATE_MS later.
"""

import http.server
import itertools
import sys
import threading
import time

FIGURES = [float(figure) for figure in sys.argv[2:]]
WORK_S = FIGURES[0] / 1000 if FIGURES else 0.0
EVERY, LATE_S = (int(FIGURES[1]), FIGURES[2] / 1000) if len(FIGURES) > 2 else (0, 0.0)
NUMBERS = itertools.count(1)


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def send_again(self, message):
        try:
            self.connection.sendall(message)
        except OSError:
            pass  # The node has closed the connection.

    def answer(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        time.sleep(WORK_S)
        data = (self.headers.get("X-Call-Id") or "").encode()
        status = b"200 OK" if data else b"404 Not Found"
        message = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(data), data)
        self.connection.sendall(message)
        if EVERY and next(NUMBERS) % EVERY == 0:
            threading.Timer(LATE_S, self.send_again, [message]).start()

    do_GET = do_POST = answer

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass  # The node has closed or reset the connection.

    def log_message(self, *_):
        pass


class Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


Listener(("127.0.0.1", int(sys.argv[1])), Handler).serve_forever()
