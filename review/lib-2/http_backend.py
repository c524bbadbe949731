"""A small stand-in for a match server: answers each request with 200 and the request's id.

    http_backend.py PORT
"""

import http.server
import sys


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        data = (self.headers.get("X-Call-Id") or "").encode()
        self.send_response(200 if data else 404)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = answer

    def log_message(self, *_):
        pass


class Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


Listener(("127.0.0.1", int(sys.argv[1])), Handler).serve_forever()
