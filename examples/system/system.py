#!/usr/bin/env python3
"""Runs a small kitepass system on loopback: three control plane nodes, two gateways, and stand-ins for the platform's
endpoint list and four backends. See README.md in this folder."""

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

# The region of each zone. A write is committed only once it is on disk in more than one zone and more than one region.
REGION_BY_ZONE = {"north-1": "north", "south-1": "south", "east-1": "east"}
# The address and the zone of each node.
CONTROL_PLANE_NODES = {
    "control-1": ("127.0.1.1", "north-1"),
    "control-2": ("127.0.1.2", "south-1"),
    "control-3": ("127.0.1.3", "east-1"),
}
DATA_PLANE_NODES = {"data-1": ("127.0.2.1", "north-1"), "data-2": ("127.0.2.2", "south-1")}
PLATFORM_ADDRESS = ("127.0.3.1", 8682)
# The service and the zone of each backend, by address.
BACKENDS = {
    "127.0.4.1": ("books", "north-1"),
    "127.0.4.2": ("books", "south-1"),
    "127.0.4.3": ("loans", "north-1"),
    "127.0.4.4": ("loans", "south-1"),
}
# PEER_PORTS is a range: the first and the last port, inclusive.
OPERATOR_PORT, DIRECTORY_PORT, CLIENT_PORT, READINESS_PORT, PEER_PORTS, BACKEND_PORT = (
    8688, 8684, 8686, 8680, (7740, 7755), 8080)
OPERATOR_ADDRESSES = ",".join(f"{ip}:{OPERATOR_PORT}" for ip, _ in CONTROL_PLANE_NODES.values())

# Limit for each wait. At startup, all processes have to start, create the replica set and synchronize within it.
WAIT_TIMEOUT_S = 30


class FatalError(Exception):
    """Ends the script with exit code 1 and a one-line message."""


# Stand-ins for the platform and the backends.


class HttpHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def respond(self, status, body, headers=()):
        body = body.encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class PlatformHandler(HttpHandler):
    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        if url.path != "/backends":
            return self.respond(404, "")
        endpoints_by_zone = {}
        for (ip, (service, zone)), backend_id in zip(BACKENDS.items(), BackendHandler.backend_ids.values()):
            endpoints_by_zone.setdefault(zone, []).append(
                {"call-sign": backend_id, "line": service, "address": f"{ip}:{BACKEND_PORT}", "district": zone,
                 "edition": "v1", "berths": 4, "standing": "open", "cold-left-ms": 0})
        body = json.dumps({"backends": endpoints_by_zone, "next-token": None})
        self.respond(200, body, [("Content-Type", "application/json")])


class BackendHandler(HttpHandler):
    # A backend gets a new ID each time it starts.
    backend_ids = {ip: f"i-{secrets.token_hex(4)}" for ip in BACKENDS}

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
        backend_id, (service, zone) = self.backend_ids[ip], BACKENDS[ip]
        if self.path == "/checkpoint":
            return self.respond(200, "", [("X-Delivered-By", backend_id)])
        request_id = self.headers.get("X-Try-Id")
        if not request_id:
            return self.respond(400, "no X-Try-Id\n", [("X-Not-Delivered", "1")])
        request_id_header = ("X-Try-Id", request_id)
        if self.headers.get("X-Deliver-To", backend_id) != backend_id:
            return self.respond(421, f"this is {backend_id}\n", [request_id_header, ("X-Not-Delivered", "1")])
        time.sleep(0.02)
        text = f"{service} at {backend_id} in {zone}: {self.command} {self.path}, {len(body)} bytes, "
        text += f"sender {self.headers.get('X-Sender', 'none')}\n"
        self.respond(200, text, [request_id_header, ("X-Postmark", secrets.token_hex(8))])

    do_POST = do_PUT = do_DELETE = do_PATCH = do_GET


def start_server(handler, address):
    server = http.server.ThreadingHTTPServer(address, handler)
    server.daemon_threads = True
    server.handle_error = lambda *_: None  # ignores errors on connections that a gateway has closed
    threading.Thread(target=server.serve_forever, daemon=True).start()


# The processes of the system.


def write_settings(folder, node_id, ip, zone):
    """Writes a node's settings file and returns its path. Creates the data directory of a control plane node."""
    is_control_plane = node_id in CONTROL_PLANE_NODES
    fields = {
        "station": node_id,
        "ip": ip,
        "district": zone,
        "province": REGION_BY_ZONE[zone],
        "sidings": list(PEER_PORTS),
        "first-stops": OPERATOR_ADDRESSES.split(","),
    }
    if is_control_plane:
        data_dir = folder / node_id
        data_dir.mkdir(exist_ok=True)
        # It is the first start only if no control plane node has data on disk. Danger: if a node that has lost its data
        # were started with `maiden-run = true`, a second replica set would be created beside the existing one.
        fields["maiden-run"] = not any(
            (folder / other).exists() and any((folder / other).iterdir()) for other in CONTROL_PLANE_NODES)
        fields["archive-dir"] = str(data_dir)
        listeners = {"control-desk": f"{ip}:{OPERATOR_PORT}", "directory-desk": f"{ip}:{DIRECTORY_PORT}"}
    else:
        listeners = {"front-counter": f"{ip}:{CLIENT_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
    lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    tables = {
        "districts": REGION_BY_ZONE,
        "counters": listeners,
        "carrier-api": {"address": "%s:%d" % PLATFORM_ADDRESS, "rate-per-s": 50.0, "delay-ms": 800},
    }
    for table, values in tables.items():
        lines += [f"[{table}]"] + [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    path = folder / f"{node_id}.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


class System:
    def __init__(self, folder, program_dir):
        self.folder, self.program_dir, self.processes, self.start_times = folder, program_dir, {}, {}

    def start(self):
        for program in ("kitepass-control-plane", "kitepass-data-plane"):
            if not os.access(self.program_dir / program, os.X_OK):
                raise FatalError(f"{self.program_dir / program} is missing or not executable: "
                                 "run `make system`, or set its folder with --programs")
        check_addresses_are_free(
            [(ip, port) for ip, _ in CONTROL_PLANE_NODES.values()
             for port in (OPERATOR_PORT, DIRECTORY_PORT, PEER_PORTS[0])]
            + [(ip, port) for ip, _ in DATA_PLANE_NODES.values() for port in (CLIENT_PORT, READINESS_PORT)]
            + [PLATFORM_ADDRESS] + [(ip, BACKEND_PORT) for ip in BACKENDS])
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise FatalError(f"{self.folder}: {error.strerror}")
        nodes = {**CONTROL_PLANE_NODES, **DATA_PLANE_NODES}
        settings_files = {
            node_id: write_settings(self.folder, node_id, *ip_and_zone) for node_id, ip_and_zone in nodes.items()}
        start_server(PlatformHandler, PLATFORM_ADDRESS)
        for ip in BACKENDS:
            start_server(BackendHandler, (ip, BACKEND_PORT))
        for node_id in nodes:
            self.start_process(node_id, settings_files[node_id])

    def start_process(self, node_id, settings_file):
        program = "kitepass-control-plane" if node_id in CONTROL_PLANE_NODES else "kitepass-data-plane"
        with open(self.folder / f"{node_id}.log", "ab") as log:
            # Each process gets its own session, so that Ctrl-C signals only this script, which stops them in order.
            self.processes[node_id] = subprocess.Popen(
                [self.program_dir / program, "--settings", settings_file],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
            self.start_times[node_id] = time.monotonic()

    def run_operator_command(self, *arguments, addresses=OPERATOR_ADDRESSES):
        """Runs an operator command; returns its exit code and its output."""
        result = subprocess.run(
            [self.program_dir / "kitepass-control-plane", *arguments, "--at", addresses],
            capture_output=True, text=True)
        return result.returncode, (result.stdout + result.stderr).strip()

    def check_processes(self, restart=False):
        """Fails if a process has exited, because the system could otherwise look complete without it. With `restart`,
        the process is restarted instead, as a platform would do, unless it exited right after its start: it would
        probably exit again."""
        for node_id, process in self.processes.items():
            if process.poll() is not None:
                if restart and time.monotonic() - self.start_times[node_id] > 2:
                    print(f"{node_id} exited with code {process.returncode}; restarting it", flush=True)
                    self.start_process(node_id, write_settings(
                        self.folder, node_id, *{**CONTROL_PLANE_NODES, **DATA_PLANE_NODES}[node_id]))
                    continue
                log = (self.folder / f"{node_id}.log").read_text(errors="replace").strip().splitlines()
                last_line = f"; last line of its log: {log[-1]}" if log else ""
                raise FatalError(f"{node_id} exited with code {process.returncode}{last_line}")

    def wait_until(self, condition, is_met):
        """Polls until the condition is met: only the system itself can tell when it has reached a state."""
        started_at = time.monotonic()
        while not is_met():
            self.check_processes()
            if time.monotonic() - started_at > WAIT_TIMEOUT_S:
                raise FatalError(f"{condition}: not reached within {WAIT_TIMEOUT_S} s; see the logs in {self.folder}")
            time.sleep(0.1)
        print(f"{condition}: after {time.monotonic() - started_at:.1f} s", flush=True)

    def apply_and_wait_until_ready(self, configuration):
        apply_output = []

        def configuration_is_applied():
            code, text = self.run_operator_command("apply", display_path(configuration))
            apply_output[:] = [text]
            if code in (1, 2):
                raise FatalError(text)
            return code == 0

        def gateways_are_ready():
            code, text = self.run_operator_command("members", "--json")
            gateways = json.loads(text)["gateways"] if code == 0 else []
            return {gateway["station"] for gateway in gateways if gateway["ready"]} == set(DATA_PLANE_NODES)

        def lease_is_held():
            results = [self.run_operator_command("members", "--json", addresses=address)
                       for address in OPERATOR_ADDRESSES.split(",")]
            return any(code == 0 and any(json.loads(text)["duty"].values()) for code, text in results)

        self.wait_until("replica set created and configuration applied", configuration_is_applied)
        print(f"output of kitepass-control-plane apply: {apply_output[0]}")
        # The lease holder reads the platform's endpoint list. A replica set from an earlier run grants the lease only
        # after all leases from that run have expired.
        self.wait_until("a control plane node holds the coordinator lease", lease_is_held)
        self.wait_until("both gateways are ready", gateways_are_ready)

    def stop(self):
        """Stops the gateways first, because they send their last usage counts to the control plane. A process that does
        not exit in time is killed."""
        for nodes in (DATA_PLANE_NODES, CONTROL_PLANE_NODES):
            processes = [self.processes[node_id] for node_id in nodes if node_id in self.processes]
            for process in processes:
                if process.poll() is None:
                    process.terminate()
            for process in processes:
                try:
                    process.wait(8)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def display_path(path):
    """The relative or the absolute path, whichever is shorter."""
    return min(os.path.relpath(path), str(path), key=len)


def check_addresses_are_free(addresses):
    for address in addresses:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(address)
            except OSError as error:
                raise FatalError("cannot bind %s:%d (%s): is another instance of this example running?"
                                 % (*address, error.strerror))


# The checks of --check.


def send_request(address, method, path, key=None, host="library.example", body=None):
    connection = http.client.HTTPConnection(*address, timeout=5)
    headers = {"Host": host, "X-Try-Id": secrets.token_hex(8), "X-Time-Left-Ms": "3000"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        text = response.read().decode(errors="replace").strip()
        is_from_backend = response.headers.get("X-Try-Id") == headers["X-Try-Id"] and "X-Postmark" in response.headers
        return response.status, text, is_from_backend
    finally:
        connection.close()


def run_checks(system):
    gateway_1, gateway_2 = ((ip, CLIENT_PORT) for ip, _ in DATA_PLANE_NODES.values())
    failures = []

    def report(what, passed, result):
        print(f"{'ok ' if passed else 'BAD'} {what}: {result}", flush=True)
        if not passed:
            failures.append(what)

    def check_request(what, expected_status, *arguments, **options):
        try:
            status, text, is_from_backend = send_request(*arguments, **options)
        except (OSError, http.client.HTTPException) as error:
            return report(what, False, repr(error))
        report(what, status == expected_status and (is_from_backend or status != 200), f"{status} {text}")

    check_request("safe request", 200, gateway_1, "GET", "/books/7", "key-of-town")
    check_request("unsafe request through the other gateway", 200, gateway_2, "POST", "/loans/7", "key-of-town",
                  body=b"until=friday")
    check_request("request with a chunked body", 200, gateway_1, "POST", "/loans/8", "key-of-town",
                  body=iter([b"until=", b"monday"]))
    check_request("route that needs no API key", 200, gateway_2, "GET", "/hours/today")
    check_request("missing API key", 401, gateway_1, "GET", "/books/7")
    check_request("unknown API key", 401, gateway_2, "GET", "/books/7", "key-of-nobody")
    check_request("unknown path", 404, gateway_1, "GET", "/games/7", "key-of-town")
    check_request("unknown host", 404, gateway_2, "GET", "/books/7", "key-of-town", host="cellar.example")

    burst = [send_request((gateway_1, gateway_2)[n % 2], "GET", f"/books/{n}", "key-of-school")[0] for n in range(60)]
    served, rejected = burst.count(200), burst.count(429)
    report("60 requests in quick succession from a tenant limited to 5 per second",
           served >= 5 and rejected >= 20 and served + rejected == 60,
           f"{served} served, {rejected} rejected with 429")

    directory = (CONTROL_PLANE_NODES["control-2"][0], DIRECTORY_PORT)
    status, text, _ = send_request(
        directory, "GET", "/v1/route-lookup?name=library.example&province=north&district=north-1")
    addresses = json.loads(text).get("addresses", []) if status == 200 else []
    report("gateway lookup by a client", f"{gateway_1[0]}:{CLIENT_PORT}" in addresses, f"{status} {text}")

    code, text = system.run_operator_command("diff", display_path(HERE / "change.json"))
    report("kitepass-control-plane diff", code == 0 and "newer" in text, f"{code}\n{text}")
    code, text = system.run_operator_command("apply", display_path(HERE / "change.json"))
    report("kitepass-control-plane apply", code == 0, f"{code} {text}")
    system.wait_until("both gateways use the changed configuration", lambda: (
        send_request(gateway_1, "GET", "/films/1", "key-of-town")[0] == 200
        and send_request(gateway_2, "GET", "/books/1", "old-key-of-school")[0] == 401))
    code, text = system.run_operator_command("apply", display_path(HERE / "configuration.json"))
    report("kitepass-control-plane apply of older versions has no effect",
           code == 0 and send_request(gateway_1, "GET", "/hours/now")[0] == 404, f"{code}")
    code, text = system.run_operator_command("evacuate", "start", "north-1")
    report("kitepass-control-plane evacuate start", code == 0, f"{code} {text}")
    system.wait_until("no requests are sent to the evacuated zone", lambda: all(
        "south-1" in send_request(gateway_1, "GET", f"/books/{n}", "key-of-town")[1] for n in range(6)))
    code, text = system.run_operator_command("evacuate", "end", "north-1")
    report("kitepass-control-plane evacuate end", code == 0, f"{code} {text}")
    code, text = system.run_operator_command("members")
    report("kitepass-control-plane members", code == 0, f"{code}\n{text}")
    print(f"{len(failures)} failed: {', '.join(failures)}" if failures else "all checks passed")
    return not failures


def print_usage(system):
    command = display_path(system.program_dir / "kitepass-control-plane")
    gateway_1, gateway_2 = (f"{ip}:{CLIENT_PORT}" for ip, _ in DATA_PLANE_NODES.values())
    directory = f"{CONTROL_PLANE_NODES['control-1'][0]}:{DIRECTORY_PORT}"
    print(f"""
The system is running. Its settings, logs and data directories are in {system.folder}

  curl -i http://{gateway_1}/books/7 -H 'Host: library.example' -H 'Authorization: Bearer key-of-town' -H 'X-Try-Id: 1'
  curl -i http://{gateway_2}/loans/7 -H 'Host: library.example' -H 'Authorization: Bearer key-of-town' -H 'X-Try-Id: 2' -d until=friday
  curl -i http://{gateway_1}/hours/today -H 'Host: library.example' -H 'X-Try-Id: 3'
  curl 'http://{directory}/v1/route-lookup?name=library.example&province=north&district=north-1'

  export KITEPASS_AT={OPERATOR_ADDRESSES}
  {command} members
  {command} get
  {command} diff {display_path(HERE / 'change.json')}
  {command} apply {display_path(HERE / 'change.json')}

A killed process is restarted. To find a process, look for its settings file in its command line.
Press Ctrl-C to stop the system.""", flush=True)


def run_until_stopped(system, end_with_stdin):
    if end_with_stdin:
        threading.Thread(target=lambda: (sys.stdin.read(), os.kill(os.getpid(), signal.SIGINT)), daemon=True).start()
    while True:
        system.check_processes(restart=True)
        time.sleep(0.5)


def main():
    parser = argparse.ArgumentParser(description="Runs a small kitepass system on loopback.")
    parser.add_argument("--check", action="store_true",
                        help="send some requests and operator commands, print the results, "
                        "and exit with 0 if all checks passed, else with 1")
    parser.add_argument("--programs", type=pathlib.Path, default=ROOT / "target/system",
                        help="the folder with kitepass-control-plane and kitepass-data-plane")
    parser.add_argument("--folder", type=pathlib.Path,
                        help="the folder for settings, data directories and logs; by default a new one under /tmp. "
                        "If it holds the data of an earlier run, the system continues from it")
    parser.add_argument("--configuration", type=pathlib.Path, default=HERE / "configuration.json",
                        help="the configuration to apply at startup")
    parser.add_argument("--end-with-stdin", action="store_true", help="stop when standard input is closed")
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(130))
    folder = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="kitepass-system-"))
    system = System(folder.resolve(), args.programs.resolve())
    try:
        if args.check and any((folder / node_id).exists() for node_id in CONTROL_PLANE_NODES):
            raise FatalError(f"--check needs a new system, but {folder} holds the data of an earlier run")
        system.start()
        system.apply_and_wait_until_ready(args.configuration)
        if args.check:
            return 0 if run_checks(system) else 1
        print_usage(system)
        run_until_stopped(system, args.end_with_stdin)
    except FatalError as error:
        print(f"system: {error}", file=sys.stderr)
        return 1
    except SystemExit as exit_request:
        # Stopped by a signal: a success, unless it interrupted the checks.
        print("\nstopping")
        return exit_request.code if args.check else 0
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        system.stop()


if __name__ == "__main__":
    sys.exit(main())
