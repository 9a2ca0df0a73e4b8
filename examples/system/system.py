#!/usr/bin/env python3
"""A small kitepass system on loopback: three control processes, two gateways, and around them a stand-in for the
platform's list and four toy backends. See README.md beside this file."""

import argparse
import http.client
import http.server
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent

# District and province of each; a write is safe only once its copies lie in more than one of both.
DISTRICTS = {"north-1": "north", "south-1": "south", "east-1": "east"}
CONTROL_PLANES = {"control-1": ("127.0.1.1", "north-1"), "control-2": ("127.0.1.2", "south-1"), "control-3": ("127.0.1.3", "east-1")}
DATA_PLANES = {"data-1": ("127.0.2.1", "north-1"), "data-2": ("127.0.2.2", "south-1")}
PLATFORM = ("127.0.3.1", 8682)
BACKENDS = {
    "127.0.4.1": ("books", "north-1"),
    "127.0.4.2": ("books", "south-1"),
    "127.0.4.3": ("loans", "north-1"),
    "127.0.4.4": ("loans", "south-1"),
}
DESK, DIRECTORY, FRONT, READINESS, SIDINGS, BACKEND = 8688, 8684, 8686, 8680, (7740, 7755), 8080
DESKS = ",".join(f"{ip}:{DESK}" for ip, _ in CONTROL_PLANES.values())

# All processes have to come up, found the core and catch up in this time.
COMES_UP_S = 30


class Trouble(Exception):
    """What ends the script with 1 and one line."""


# What stands around the system.


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def reply(self, status, body, fields=()):
        body = body.encode()
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class Platform(Handler):
    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        if url.path != "/backends":
            return self.reply(404, "")
        districts = {}
        for (ip, (line, district)), call_sign in zip(BACKENDS.items(), Backend.call_signs.values()):
            districts.setdefault(district, []).append(
                {"call-sign": call_sign, "line": line, "address": f"{ip}:{BACKEND}", "district": district,
                 "edition": "v1", "berths": 4, "standing": "open", "cold-left-ms": 0})
        body = json.dumps({"backends": districts, "next-token": None})
        self.reply(200, body, [("Content-Type", "application/json")])


class Backend(Handler):
    # A new life, a new name.
    call_signs = {ip: f"i-{secrets.token_hex(4)}" for ip in BACKENDS}

    def read_body(self):
        if self.headers.get("Transfer-Encoding", "").lower() != "chunked":
            return self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = b""
        while length := int(self.rfile.readline().split(b";")[0], 16):
            body += self.rfile.read(length)
            self.rfile.readline()
        while self.rfile.readline().strip():
            pass
        return body

    def do_GET(self):
        body = self.read_body()
        ip = self.server.server_address[0]
        call_sign, (line, district) = self.call_signs[ip], BACKENDS[ip]
        if self.path == "/checkpoint":
            return self.reply(200, "", [("X-Delivered-By", call_sign)])
        try_id = self.headers.get("X-Try-Id")
        if not try_id:
            return self.reply(400, "no X-Try-Id\n", [("X-Not-Delivered", "1")])
        echo = ("X-Try-Id", try_id)
        if self.headers.get("X-Deliver-To", call_sign) != call_sign:
            return self.reply(421, f"this is {call_sign}\n", [echo, ("X-Not-Delivered", "1")])
        time.sleep(0.02)
        said = f"{line} at {call_sign} in {district}: {self.command} {self.path}, {len(body)} bytes, "
        said += f"sender {self.headers.get('X-Sender', 'none')}\n"
        self.reply(200, said, [echo, ("X-Postmark", secrets.token_hex(8))])

    do_POST = do_PUT = do_DELETE = do_PATCH = do_GET


def stand(handler, address):
    server = http.server.ThreadingHTTPServer(address, handler)
    server.daemon_threads = True
    server.handle_error = lambda *_: None  # connections that a gateway closes
    threading.Thread(target=server.serve_forever, daemon=True).start()


# The system itself.


def settings(folder, name, ip, district):
    """A machine's settings file, and its folder on disk if it has one."""
    control = name in CONTROL_PLANES
    fields = {
        "station": name,
        "ip": ip,
        "district": district,
        "province": DISTRICTS[district],
        "sidings": list(SIDINGS),
        "first-stops": DESKS.split(","),
    }
    if control:
        archive = folder / name
        archive.mkdir(exist_ok=True)
        # Only the very first start founds a core. Danger: said again over a folder that was lost, a second core
        # would be founded beside the first.
        fields["maiden-run"] = not any((folder / other).exists() and any((folder / other).iterdir()) for other in CONTROL_PLANES)
        fields["archive-dir"] = str(archive)
        counters = {"control-desk": f"{ip}:{DESK}", "directory-desk": f"{ip}:{DIRECTORY}"}
    else:
        counters = {"front-counter": f"{ip}:{FRONT}", "readiness": f"{ip}:{READINESS}"}
    lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    tables = {
        "districts": DISTRICTS,
        "counters": counters,
        "carrier-api": {"address": "%s:%d" % PLATFORM, "rate-per-s": 50.0, "delay-ms": 800},
    }
    for table, values in tables.items():
        lines += [f"[{table}]"] + [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    path = folder / f"{name}.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


class System:
    def __init__(self, folder, programs):
        self.folder, self.programs, self.processes, self.started = folder, programs, {}, {}

    def start(self):
        for program in ("kitepass-control-plane", "kitepass-data-plane"):
            if not os.access(self.programs / program, os.X_OK):
                raise Trouble(f"no program {self.programs / program}: run `make system`, or name its folder with --programs")
        free([(ip, port) for ip, _ in CONTROL_PLANES.values() for port in (DESK, DIRECTORY, SIDINGS[0])]
             + [(ip, port) for ip, _ in DATA_PLANES.values() for port in (FRONT, READINESS)]
             + [PLATFORM] + [(ip, BACKEND) for ip in BACKENDS])
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise Trouble(f"{self.folder}: {error.strerror}")
        machines = {**CONTROL_PLANES, **DATA_PLANES}
        files = {name: settings(self.folder, name, *at) for name, at in machines.items()}
        stand(Platform, PLATFORM)
        for ip in BACKENDS:
            stand(Backend, (ip, BACKEND))
        for name in machines:
            self.run(name, files[name])

    def run(self, name, file):
        program = "kitepass-control-plane" if name in CONTROL_PLANES else "kitepass-data-plane"
        with open(self.folder / f"{name}.log", "ab") as log:
            # Sessions of their own: Ctrl-C is for this script, which then ends them in order.
            self.processes[name] = subprocess.Popen(
                [self.programs / program, "--settings", file],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
            self.started[name] = time.monotonic()

    def operator_command(self, *words, desk=DESKS):
        """An operator's command: its exit code, and what it printed."""
        done = subprocess.run([self.programs / "kitepass-control-plane", *words, "--at", desk], capture_output=True, text=True)
        return done.returncode, (done.stdout + done.stderr).strip()

    def watch(self, again=False):
        """Danger: a process that ended unseen leaves a system that only looks whole. With `again` it is started
        again, as a platform would; one that ended at once would only do so again."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                if again and time.monotonic() - self.started[name] > 2:
                    print(f"{name} ended with {process.returncode}, and is started again", flush=True)
                    self.run(name, settings(self.folder, name, *{**CONTROL_PLANES, **DATA_PLANES}[name]))
                    continue
                log = (self.folder / f"{name}.log").read_text(errors="replace").strip().splitlines()
                last = f", its last line: {log[-1]}" if log else ""
                raise Trouble(f"{name} ended with {process.returncode}{last}")

    def until(self, what, check):
        """Asks until it is so: only the system itself can say when it has come up."""
        since = time.monotonic()
        while not check():
            self.watch()
            if time.monotonic() - since > COMES_UP_S:
                raise Trouble(f"{what}: not within {COMES_UP_S} s; see the logs in {self.folder}")
            time.sleep(0.1)
        print(f"{what}: after {time.monotonic() - since:.1f} s", flush=True)

    def come_up(self, configuration):
        said = []

        def taken():
            code, text = self.operator_command("apply", near(configuration))
            said[:] = [text]
            if code in (1, 2):
                raise Trouble(text)
            return code == 0

        def ready():
            code, text = self.operator_command("members", "--json")
            gateways = json.loads(text)["gateways"] if code == 0 else []
            return {g["station"] for g in gateways if g["ready"]} == set(DATA_PLANES)

        def held():
            told = [self.operator_command("members", "--json", desk=desk) for desk in DESKS.split(",")]
            return any(code == 0 and any(json.loads(text)["duty"].values()) for code, text in told)

        self.until("the core is founded and has taken the configuration", taken)
        print(f"kitepass-control-plane apply said: {said[0]}")
        # A core that was there before waits until any lease of then has ended.
        self.until("one of the core reads the platform's list", held)
        self.until("both gateways are ready", ready)

    def stop(self):
        """Gateways first, as they hand in their last counts; a process that will not end is killed."""
        for names in (DATA_PLANES, CONTROL_PLANES):
            processes = [self.processes[name] for name in names if name in self.processes]
            for process in processes:
                if process.poll() is None:
                    process.terminate()
            for process in processes:
                try:
                    process.wait(8)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def near(path):
    """A path as short as it can be told."""
    return min(os.path.relpath(path), str(path), key=len)


def free(addresses):
    for address in addresses:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(address)
            except OSError as error:
                raise Trouble("%s:%d cannot be had (%s): does another system run here?" % (*address, error.strerror))


# A handful of requests.


def ask(address, method, path, key=None, host="library.example", body=None):
    connection = http.client.HTTPConnection(*address, timeout=5)
    fields = {"Host": host, "X-Try-Id": secrets.token_hex(8), "X-Time-Left-Ms": "3000"}
    if key:
        fields["Authorization"] = f"Bearer {key}"
    try:
        connection.request(method, path, body=body, headers=fields)
        answer = connection.getresponse()
        text = answer.read().decode(errors="replace").strip()
        echoed = answer.headers.get("X-Try-Id") == fields["X-Try-Id"] and "X-Postmark" in answer.headers
        return answer.status, text, echoed
    finally:
        connection.close()


def check(system):
    one, two = ((ip, FRONT) for ip, _ in DATA_PLANES.values())
    bad = []

    def note(what, good, came):
        print(f"{'ok ' if good else 'BAD'} {what}: {came}", flush=True)
        if not good:
            bad.append(what)

    def request(what, wanted, *words, **more):
        try:
            status, text, echoed = ask(*words, **more)
        except (OSError, http.client.HTTPException) as error:
            return note(what, False, repr(error))
        note(what, status == wanted and (echoed or status != 200), f"{status} {text}")

    request("a read", 200, one, "GET", "/books/7", "key-of-town")
    request("a once-only request, at the other gateway", 200, two, "POST", "/loans/7", "key-of-town", body=b"until=friday")
    request("a body in chunks", 200, one, "POST", "/loans/8", "key-of-town", body=iter([b"until=", b"monday"]))
    request("a route without keys", 200, two, "GET", "/hours/today")
    request("no key", 401, one, "GET", "/books/7")
    request("a key that is not known", 401, two, "GET", "/books/7", "key-of-nobody")
    request("no such route", 404, one, "GET", "/games/7", "key-of-town")
    request("no such host", 404, two, "GET", "/books/7", "key-of-town", host="cellar.example")

    burst = [ask((one, two)[n % 2], "GET", f"/books/{n}", "key-of-school")[0] for n in range(60)]
    served, refused = burst.count(200), burst.count(429)
    note("60 requests at once of a customer with 5 a second", served >= 5 and refused >= 20 and served + refused == 60,
         f"{served} served, {refused} refused with 429")

    directory = (CONTROL_PLANES["control-2"][0], DIRECTORY)
    status, text, _ = ask(directory, "GET", "/v1/route-lookup?name=library.example&province=north&district=north-1")
    addresses = json.loads(text).get("addresses", []) if status == 200 else []
    note("where a client is to go", f"{one[0]}:{FRONT}" in addresses, f"{status} {text}")

    code, text = system.operator_command("diff", near(HERE / "change.json"))
    note("kitepass-control-plane diff", code == 0 and "newer" in text, f"{code}\n{text}")
    code, text = system.operator_command("apply", near(HERE / "change.json"))
    note("kitepass-control-plane apply", code == 0, f"{code} {text}")
    system.until("the change is in force", lambda: ask(one, "GET", "/films/1", "key-of-town")[0] == 200
                 and ask(two, "GET", "/books/1", "old-key-of-school")[0] == 401)
    code, text = system.operator_command("apply", near(HERE / "configuration.json"))
    note("kitepass-control-plane apply of what is older", code == 0 and ask(one, "GET", "/hours/now")[0] == 404, f"{code}, and nothing changed")
    code, text = system.operator_command("evacuate", "start", "north-1")
    note("kitepass-control-plane evacuate start", code == 0, f"{code} {text}")
    system.until("nothing more goes to the zone", lambda: all(
        "south-1" in ask(one, "GET", f"/books/{n}", "key-of-town")[1] for n in range(6)))
    code, text = system.operator_command("evacuate", "end", "north-1")
    note("kitepass-control-plane evacuate end", code == 0, f"{code} {text}")
    code, text = system.operator_command("members")
    note("kitepass-control-plane members", code == 0, f"{code}\n{text}")
    print(f"{len(bad)} bad: {', '.join(bad)}" if bad else "all is well")
    return not bad


def usage(system):
    command = near(system.programs / "kitepass-control-plane")
    front, other = (f"{ip}:{FRONT}" for ip, _ in DATA_PLANES.values())
    directory = f"{CONTROL_PLANES['control-1'][0]}:{DIRECTORY}"
    print(f"""
a small system is up; logs, settings and archives are in {system.folder}

  curl -i http://{front}/books/7 -H 'Host: library.example' -H 'Authorization: Bearer key-of-town' -H 'X-Try-Id: 1'
  curl -i http://{other}/loans/7 -H 'Host: library.example' -H 'Authorization: Bearer key-of-town' -H 'X-Try-Id: 2' -d until=friday
  curl -i http://{front}/hours/today -H 'Host: library.example' -H 'X-Try-Id: 3'
  curl 'http://{directory}/v1/route-lookup?name=library.example&province=north&district=north-1'

  export KITEPASS_AT={DESKS}
  {command} members
  {command} get
  {command} diff {near(HERE / 'change.json')}
  {command} apply {near(HERE / 'change.json')}

A process that is killed (its settings file is in its command line) is started again. Ctrl-C ends the system.""", flush=True)


def wait(system, with_stdin):
    if with_stdin:
        threading.Thread(target=lambda: (sys.stdin.read(), os.kill(os.getpid(), signal.SIGINT)), daemon=True).start()
    while True:
        system.watch(again=True)
        time.sleep(0.5)


def main():
    parser = argparse.ArgumentParser(description="A small kitepass system on loopback.")
    parser.add_argument("--check", action="store_true", help="play a handful of requests, print what came, end with 0 or 1")
    parser.add_argument("--programs", type=pathlib.Path, default=ROOT / "target/system", help="the folder with kitepass-control-plane and kitepass-data-plane")
    parser.add_argument("--folder", type=pathlib.Path, help="where settings, archives and logs go; default a new one under /tmp. "
                        "Given again, the system goes on with what it kept there")
    parser.add_argument("--configuration", type=pathlib.Path, default=HERE / "configuration.json",
                        help="what is applied first")
    parser.add_argument("--end-with-stdin", action="store_true", help="end when standard input closes")
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(130))
    folder = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="kitepass-system-"))
    system = System(folder.resolve(), args.programs.resolve())
    try:
        if args.check and any((folder / name).exists() for name in CONTROL_PLANES):
            raise Trouble(f"--check begins with an empty system, and {folder} holds one")
        system.start()
        system.come_up(args.configuration)
        if args.check:
            return 0 if check(system) else 1
        usage(system)
        wait(system, args.end_with_stdin)
    except Trouble as trouble:
        print(f"system: {trouble}", file=sys.stderr)
        return 1
    except SystemExit as asked:
        # Ended as it was asked to: no failure, unless a check was cut short.
        print("\nends")
        return asked.code if args.check else 0
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        system.stop()


if __name__ == "__main__":
    sys.exit(main())
