"""Stand-ins for the platform, the upstreams and the clients of damasktack.

Written for the review from PROTOCOL.md and DEPLOY.md alone: the platform's
store and its readiness checks, upstreams, and clients over plain sockets. Only
loopback addresses, free ports and the standard library are used.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "settings.json.in"
HELD = 0
BROKEN = 1
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with milliseconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, who, what):
        ms = (time.monotonic() - self._start) * 1000
        with self._lock:
            self._file.write(f"{ms:9.1f} ms  {who}: {what}\n")
            self._file.flush()


# --- encoding -----------------------------------------------------------------


def _cbor_head(major, number):
    for code, limit, form in ((24, 1 << 8, ">B"), (25, 1 << 16, ">H"),
                              (26, 1 << 32, ">I"), (27, 1 << 64, ">Q")):
        if number < 24:
            return bytes([major << 5 | number])
        if number < limit:
            return bytes([major << 5 | code]) + struct.pack(form, number)
    raise ValueError(number)


def cbor(value):
    if value is None:
        return b"\xf6"
    if isinstance(value, bool):
        return b"\xf5" if value else b"\xf4"
    if isinstance(value, int):
        return _cbor_head(0, value) if value >= 0 else _cbor_head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return _cbor_head(3, len(data)) + data
    if isinstance(value, (list, tuple)):
        return _cbor_head(4, len(value)) + b"".join(cbor(it) for it in value)
    if isinstance(value, dict):
        body = b"".join(cbor(k) + cbor(v) for k, v in value.items())
        return _cbor_head(5, len(value)) + body
    raise TypeError(type(value))


def columns(rows):
    """A list of objects as the table that deploy/wire.toml asks for."""
    names = []
    for row in rows:
        names += [name for name in row if name not in names]
    return {"columns": names,
            "rows": [[row.get(name) for name in names] for row in rows]}


def render(template, values):
    """Fills in a settings template as DEPLOY.md tells."""

    def find(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(it) for it in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def expand(text, scopes, entry, key, is_last):
        out = ""
        while True:
            match = re.search(r"\{\{([#^]?)([^}]*)\}\}", text)
            if not match:
                return out + text
            out += text[:match.start()]
            kind, name = match.group(1), match.group(2)
            text = text[match.end():]
            if kind:
                end = "{{/" + name + "}}"
                body, text = text.split(end, 1)
                value = find(name, scopes)
                if kind == "^":
                    out += "" if value else expand(body, scopes, entry, key, is_last)
                elif isinstance(value, (list, dict)) and value:
                    items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                    for n, (at, it) in enumerate(items):
                        out += expand(body, scopes + [it], it, at, n + 1 == len(items))
                elif value:
                    out += expand(body, scopes + [value], value, key, is_last)
            elif name == ".":
                out += text_of(entry)
            elif name == "@":
                out += str(key)
            elif name == ",":
                out += "" if is_last else ","
            else:
                out += text_of(find(name, scopes))

    return expand(template, [values], None, "", True)


# --- the platform's store -----------------------------------------------------


class Store:
    """The platform's store: range reads and watches, bodies in CBOR."""

    def __init__(self):
        self._changed = threading.Condition()
        self._items = {}
        self._revision = 1
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = store._answer(url.path, query)
                data = cbor(body)
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/cbor")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            def server_bind(self):
                # HTTPServer would look up the address's name, which can wait for
                # a name server on a machine without a network.
                socketserver.TCPServer.server_bind(self)
                self.server_name, self.server_port = self.server_address[:2]

        self._server = Server(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _item(self, key):
        value, revision = self._items[key]
        if value is None:
            return {"key": key, "rev": revision, "removed": True}
        return {"key": key, "value": base64.b64encode(cbor(value)).decode(),
                "rev": revision, "create_revision": revision, "lease": 0}

    def _answer(self, path, query):
        with self._changed:
            if path == "/v1/kv-range":
                live = [key for key, (value, _) in sorted(self._items.items())
                        if value is not None and key.startswith(query.get("prefix", ""))
                        and key > query.get("after", "")]
                return 200, {"items": [self._item(key) for key in live],
                             "has_more": False, "current_rev": self._revision}
            if path == "/v1/kv-watch":
                after = int(query.get("after", 0))
                prefix = query.get("prefix", "")

                def events():
                    found = [key for key, (_, revision) in self._items.items()
                             if revision > after and key.startswith(prefix)]
                    return sorted(found, key=lambda key: self._items[key][1])

                self._changed.wait_for(lambda: bool(events()), int(query.get("wait_ms", 0)) / 1000)
                return 200, {"events": [self._item(key) for key in events()],
                             "current_rev": self._revision}
        return 404, {}

    def put(self, key, value):
        """Writes a key; None removes it."""
        with self._changed:
            self._revision += 1
            self._items[key] = (value, self._revision)
            self._changed.notify_all()

    def close(self):
        self._server.shutdown()


# --- upstreams ----------------------------------------------------------------


class Request:
    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                self.headers[name.strip().lower()] = value.strip()
        self.body = body
        self.id = self.headers.get("x-damasktack-request-id", "")


def read_message(sock, buffered, is_response=False):
    """Reads one message that has a length; returns (head, body, rest)."""
    while b"\r\n\r\n" not in buffered:
        data = sock.recv(1 << 16)
        if not data:
            raise ConnectionError("closed")
        buffered += data
    head, rest = buffered.split(b"\r\n\r\n", 1)
    match = re.search(rb"\r\ncontent-length:\s*(\d+)", head, re.IGNORECASE)
    length = int(match.group(1)) if match else 0
    parts, have = [rest], len(rest)
    while have < length:
        data = sock.recv(1 << 16)
        if not data:
            raise ConnectionError("closed within a body")
        parts.append(data)
        have += len(data)
    rest = b"".join(parts)
    return head, rest[:length], rest[length:]


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Upstream:
    """One upstream. `decide(upstream, request)` returns "run" or "full".

    `extra(upstream, request, status)` returns whether a copy of the answer just
    sent follows `extra_ms` later on the same connection, as a faulty upstream
    may do.
    """

    def __init__(self, record, name, service, zone, slots=6, tells_load=True, work_ms=200,
                 decide=None, extra=None, extra_ms=40, health=None):
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.tells_load = tells_load
        self.work_ms = work_ms
        self.decide = decide or (lambda *_: "run")
        self.health = health or (lambda *_: "well")
        self.extra = extra or (lambda *_: False)
        self.extra_ms = extra_ms
        self.runs = []
        self._running = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        self._open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self, state="ready"):
        return {"address": self.address,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": state, "sequence": 1, "cold_ms": 0}}

    def crash(self):
        """Ends at once: resets its connections and listens no more."""
        self._listener.close()
        with self._lock:
            for sock in self._open:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RDWR)
                    sock.close()
                except OSError:
                    pass
        self.record.write(self.id, "crashed, lost for good")

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _load(self):
        if not self.tells_load:
            return []
        return [("X-Damasktack-Server-Load", f"{self._running},0,{self.slots},100")]

    def _serve(self, sock):
        buffered = b""
        writing = threading.Lock()
        try:
            peer = sock.getpeername()[1]
            while True:
                head, body, buffered = read_message(sock, buffered)
                request = Request(head, body)
                status, answer = self._handle(request, peer)
                with writing:
                    sock.sendall(answer)
                if self.extra(self, request, status):
                    self.record.write(self.id, f"faulty: sends its answer {status} to "
                                      f"{request.id or request.target} again in {self.extra_ms} ms on connection {peer}")
                    threading.Thread(target=self._send_extra, args=(sock, writing, answer), daemon=True).start()
        except (OSError, ConnectionError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()

    def _send_extra(self, sock, writing, answer):
        time.sleep(self.extra_ms / 1000)
        try:
            with writing:
                sock.sendall(answer)
        except OSError:
            pass

    def _handle(self, request, peer):
        if request.target == "/health":
            state = self.health(self, request)
            if state == "full":
                self.record.write(self.id, f"rejects a health check as any other request, connection {peer}")
                return 503, response("503 Service Unavailable", [("X-Damasktack-Not-Executed", "1")])
            return 200, response("200 OK", [("X-Damasktack-Instance-Id", self.id)] + self._load())
        echo = [("X-Damasktack-Request-Id", request.id)] if request.id else []
        if request.headers.get("x-damasktack-target-instance", self.id) != self.id:
            return 421, response("421 Misdirected Request",
                                 echo + [("X-Damasktack-Instance-Id", self.id), ("X-Damasktack-Not-Executed", "1")])
        if self.decide(self, request) == "full":
            self.record.write(self.id, f"full, does not run {request.id}: 503, connection {peer}")
            return 503, response("503 Service Unavailable", echo + [("X-Damasktack-Not-Executed", "1")])
        with self._lock:
            self._running += 1
            self.runs.append((request.id, request.method, time.monotonic()))
        self.record.write(self.id, f"RUNS {request.id}, connection {peer}")
        time.sleep(self.work_ms / 1000)
        with self._lock:
            self._running -= 1
        self.record.write(self.id, f"has run {request.id}: 200")
        signature = ("X-Damasktack-Server-Signature", f"sig.{self.id}.{request.id}")
        return 200, response("200 OK", echo + [signature] + self._load(), f"done {request.id} at {self.id}\n".encode())


# --- damasktack itself ----------------------------------------------------------


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def daemon_program():
    """The program of the deploy file's `run`, in the folder of either build."""
    for build in ("target", "build"):
        path = ROOT / build / "main" / "damasktack"
        if path.exists():
            return path
    raise CannotRun("no build of the daemon in target/ or build/")


class Host:
    """One entry host, started with the command of deploy/system.toml."""

    BOUNDS = {"probes_per_s": 60, "budget_slack": 62, "grace_s": 6}

    def __init__(self, record, name, zone, zones, store, folder, ports, seeds, bootstrap=True):
        self.record = record
        self.name = name
        self.front, self.readiness, self.control, self.relay = ports
        values = {"node": name, "zone": zone, "zones": zones, "ip": "127.0.0.1",
                  "port_range": [self.relay, self.relay],
                  "listen": {"front": f"127.0.0.1:{self.front}", "readiness": f"127.0.0.1:{self.readiness}",
                             "control": f"127.0.0.1:{self.control}"},
                  "provider": {"address": f"127.0.0.1:{store.port}"},
                  "bootstrap": bootstrap, "bounds": self.BOUNDS, "seeds": seeds}
        self._settings = folder / f"{name}.json"
        self._settings.write_text(render(TEMPLATE.read_text(encoding="utf-8"), values), encoding="utf-8")
        self._log = folder / f"{name}.log"
        self.process = None

    def start(self):
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen([str(daemon_program()), "--settings", str(self._settings)], cwd=ROOT,
                                            stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.record.write(self.name, "started")

    def is_ready(self):
        try:
            link = http.client.HTTPConnection("127.0.0.1", self.readiness, timeout=1)
            link.request("GET", "/v1/readiness")
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()

    def await_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended at its start: {self.log()[-500:]}")
            if self.is_ready():
                return
            time.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready: {self.log()[-500:]}")

    def log(self):
        return self._log.read_text(encoding="utf-8", errors="replace")

    def peak_memory_mb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """A store, upstreams and a few entry hosts; ends all that it started."""

    def __init__(self, record, hosts=1, zones=("zone-a",)):
        self.record = record
        self.folder_object = tempfile.TemporaryDirectory(prefix="damasktack-review-")
        self.folder = pathlib.Path(self.folder_object.name)
        self.store = Store()
        self.zones = {zone: "region-a" for zone in zones}
        self.hosts = []
        self.upstreams = []
        # At other times than the hosts' ports are drawn, so that none is drawn twice.
        ports = free_ports(4 * hosts)
        sets = [ports[4 * n:4 * n + 4] for n in range(hosts)]
        seeds = [f"127.0.0.1:{it[2]}" for it in sets[:3]]
        for n in range(hosts):
            self.hosts.append(Host(record, f"host-{n + 1}", zones[n % len(zones)], self.zones, self.store,
                                   self.folder, sets[n], seeds))

    def publish(self, routes, services, version=1):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("op/config", {"version": version, "routes": columns(routes),
                                     "services": columns(services), "limits": limits})

    def add(self, upstream):
        self.upstreams.append(upstream)
        self.store.put(f"servers/{upstream.id}", upstream.entry())
        return upstream

    def start(self):
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            host.await_ready()
        # Hosts have found each other and the upstreams.
        time.sleep(2)

    def close(self):
        for host in self.hosts:
            host.kill()
            for line in host.log().splitlines()[-40:]:
                self.record.write(host.name, f"logged: {line}")
        self.store.close()
        self.folder_object.cleanup()


def route(name, prefix, service, kind, timeout_ms=1500, target_latency_ms=500, max_attempts=2):
    return {"name": name, "host": "park.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_latency_ms, "priority": 1, "max_attempts": max_attempts, "service": service}


def service(name, max_conns=260):
    return {"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}


# --- clients ------------------------------------------------------------------


class Answer:
    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ", 2)[1])
        self.headers = dict((line.split(":", 1)[0].strip().lower(), line.split(":", 1)[1].strip())
                            for line in lines[1:] if ":" in line)
        self.body = body


class Client:
    """One client with a kept connection to one host."""

    def __init__(self, record, host, name="client"):
        self.record = record
        self.host = host
        self.name = name
        self._sock = None
        self._buffered = b""

    def _connect(self):
        if self._sock is None:
            self._sock = socket.create_connection(("127.0.0.1", self.host.front), timeout=10)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._buffered = b""

    def close(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def call(self, method, target, request_id, body=b"", deadline_ms=1500, headers=()):
        """Sends one request; returns its answer, or None if there was none."""
        lines = [f"{method} {target} HTTP/1.1", "Host: park.example",
                 f"X-Damasktack-Request-Id: {request_id}", f"X-Damasktack-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._connect()
            self.record.write(self.name, f"sends {method} {request_id} to {self.host.name}")
            self._sock.settimeout(deadline_ms / 1000 + 2)
            self._sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head, data, self._buffered = read_message(self._sock, self._buffered)
        except (OSError, ConnectionError) as error:
            self.record.write(self.name, f"got no answer to {request_id}: {error}")
            self.close()
            return None
        answer = Answer(head, data)
        self.record.write(self.name, f"got {answer.status} for {request_id}"
                          f" retry-after={answer.headers.get('retry-after', '-')}")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


def main(case, folder):
    """Runs `case(record, trouble)`, which returns the lines of what broke."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") not in ("0", "crash")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        broken = case(record, trouble)
    except CannotRun as error:
        record.write("result", f"could not run: {error}")
        print(f"could not run: {error}")
        return CANNOT_RUN
    except Exception:  # pylint: disable=broad-except
        # Exit code 1 is kept for a broken rule.
        record.write("result", traceback.format_exc())
        traceback.print_exc()
        return CANNOT_RUN
    for line in broken:
        record.write("result", line)
        print(line)
    result = "the rule was broken" if broken else "the rule held"
    record.write("result", result)
    print(result)
    return BROKEN if broken else HELD
