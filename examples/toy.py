#!/usr/bin/env python3
"""Two backends, discovery and the counter on loopback, to try a kitepass gateway with. See README.md here."""

import http.server
import json
import sys
import threading
import time
import urllib.parse

BACKENDS = {"b1": ("127.0.0.1", 9101), "b2": ("127.0.0.1", 9102)}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def reply(self, body, status=200):
        body = body.encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class Backend(Handler):
    def do_GET(self):
        sent = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        id = self.server.id
        print(f"{id}: {self.command} {self.path} {self.headers.get('X-Trace-Id')} {sent.decode(errors='replace')}")
        time.sleep(0.02)
        self.reply(f"{id} has done it\n")

    do_POST = do_GET


class Counter(Handler):
    lock = threading.Lock()
    totals = {}

    def do_POST(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        now, name = time.monotonic(), url.path.removeprefix("/counters/")
        with self.lock:
            total, ends = self.totals.get(name, (0.0, 0.0))
            if ends <= now:
                total, ends = 0.0, now + min(float(query["expire_ms"]), 60_000) / 1000
            total += float(query["by"])
            self.totals[name] = total, ends
        self.reply(f"{total:.7g}")


class Discovery(Handler):
    changed = threading.Condition()
    changes = [dict.fromkeys(BACKENDS, "ready")]  # one a generation

    def entries(self, change):
        return [
            {"instanceId": id, "hostPort": "%s:%d" % BACKENDS[id], "zone": "a", "machineType": "toy", "cell": 0,
             "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
            for id, lifecycle in change.items()
        ]

    def do_GET(self):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        whole = {}
        for change in self.changes:
            whole.update(change)
        said = len(self.changes)
        first = {"generation": said, "reset": True, "instances": self.entries(whole)}
        if "stream" not in query:
            return self.reply(json.dumps(first))
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.say(json.dumps(first))
        while True:
            with self.changed:
                self.changed.wait_for(lambda: len(self.changes) > said, timeout=2)
                news = self.changes[said:]
            for change in news:
                said += 1
                self.say(json.dumps({"generation": said, "reset": False, "instances": self.entries(change)}))
            if not news:
                self.say("")

    def say(self, line):
        line = line.encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))


def serve(handler, address, id=None):
    server = http.server.ThreadingHTTPServer(address, handler)
    server.id = id
    server.handle_error = lambda *_: None  # connections that a gateway closes
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main():
    for id, address in BACKENDS.items():
        serve(Backend, address, id)
    serve(Counter, ("127.0.0.1", 6400))
    serve(Discovery, ("127.0.0.1", 8500))
    print("serving; 'drain b1' and 'ready b1' change the list, Ctrl-C ends", flush=True)
    lifecycles = {"drain": "draining", "ready": "ready"}
    for line in sys.stdin:
        word, _, id = line.strip().partition(" ")
        if word in lifecycles and id in BACKENDS:
            with Discovery.changed:
                Discovery.changes.append({id: lifecycles[word]})
                Discovery.changed.notify_all()
        else:
            print("expected: drain|ready, and one of " + ", ".join(BACKENDS))
    if sys.stdin.isatty():
        return print("Ctrl-D: ends")
    print("standard input is closed: the list stays as it is; serving on, Ctrl-C or SIGTERM ends", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        print("interrupted: ends")
