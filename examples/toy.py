#!/usr/bin/env python3
"""Runs two backends, discovery and the counter service on loopback, for trying out a kitepass gateway. See README.md in
this folder."""

import http.server
import json
import sys
import threading
import time
import urllib.parse

BACKEND_ADDRESSES = {"b1": ("127.0.0.1", 9101), "b2": ("127.0.0.1", 9102)}


class HttpHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def respond(self, body, status=200):
        body = body.encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class BackendHandler(HttpHandler):
    def do_GET(self):
        request_body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        backend_id = self.server.backend_id
        print(f"{backend_id}: {self.command} {self.path} {self.headers.get('X-Trace-Id')} "
              f"{request_body.decode(errors='replace')}")
        time.sleep(0.02)
        self.respond(f"processed by {backend_id}\n")

    do_POST = do_GET


class CounterHandler(HttpHandler):
    lock = threading.Lock()
    # The total and the expiry time of each counter, by name.
    totals = {}

    def do_POST(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        now, name = time.monotonic(), url.path.removeprefix("/counters/")
        with self.lock:
            total, expires_at = self.totals.get(name, (0.0, 0.0))
            if expires_at <= now:
                total, expires_at = 0.0, now + min(float(query["expire_ms"]), 60_000) / 1000
            total += float(query["by"])
            self.totals[name] = total, expires_at
        self.respond(f"{total:.7g}")


class DiscoveryHandler(HttpHandler):
    changed = threading.Condition()
    # The new lifecycle of each backend that a change affects. The length of the list is the current generation.
    changes = [dict.fromkeys(BACKEND_ADDRESSES, "ready")]

    def instances(self, change):
        return [
            {"instanceId": backend_id, "hostPort": "%s:%d" % BACKEND_ADDRESSES[backend_id], "zone": "a",
             "machineType": "toy", "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
            for backend_id, lifecycle in change.items()
        ]

    def do_GET(self):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        lifecycles = {}
        for change in self.changes:
            lifecycles.update(change)
        generation = len(self.changes)
        full_list = {"generation": generation, "reset": True, "instances": self.instances(lifecycles)}
        if "stream" not in query:
            return self.respond(json.dumps(full_list))
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.send_chunk(json.dumps(full_list))
        while True:
            with self.changed:
                self.changed.wait_for(lambda: len(self.changes) > generation, timeout=2)
                new_changes = self.changes[generation:]
            for change in new_changes:
                generation += 1
                self.send_chunk(json.dumps(
                    {"generation": generation, "reset": False, "instances": self.instances(change)}))
            if not new_changes:
                self.send_chunk("")

    def send_chunk(self, line):
        line = line.encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))


def start_server(handler, address, backend_id=None):
    server = http.server.ThreadingHTTPServer(address, handler)
    server.backend_id = backend_id
    server.handle_error = lambda *_: None  # ignores errors on connections that a gateway has closed
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main():
    for backend_id, address in BACKEND_ADDRESSES.items():
        start_server(BackendHandler, address, backend_id)
    start_server(CounterHandler, ("127.0.0.1", 6400))
    start_server(DiscoveryHandler, ("127.0.0.1", 8500))
    print("running; enter 'drain b1' or 'ready b1' to change a backend's lifecycle, press Ctrl-C to stop", flush=True)
    lifecycle_by_command = {"drain": "draining", "ready": "ready"}
    for line in sys.stdin:
        command, _, backend_id = line.strip().partition(" ")
        if command in lifecycle_by_command and backend_id in BACKEND_ADDRESSES:
            with DiscoveryHandler.changed:
                DiscoveryHandler.changes.append({backend_id: lifecycle_by_command[command]})
                DiscoveryHandler.changed.notify_all()
        else:
            print("expected drain or ready, followed by one of: " + ", ".join(BACKEND_ADDRESSES))
    if sys.stdin.isatty():
        return print("Ctrl-D: stopping")
    print("standard input is closed; the list of backends no longer changes. Press Ctrl-C or send SIGTERM to stop",
          flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        print("interrupted: stopping")
