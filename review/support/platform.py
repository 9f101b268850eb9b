"""The platform's side of a small deployment, for the cases of this review.

Store and settings follow PROTOCOL.md and DEPLOY.md: a read-only key-value store
over HTTP/1.1 with CBOR bodies and tables as columns (deploy/wire.toml), and
settings rendered from deploy/settings.json.in.
"""

import base64
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_case(folder, body):
    """Runs body(record) and exits with its result, or with 2 if it fails by itself."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(pathlib.Path(folder) / "record.txt")
    result = COULD_NOT_RUN
    try:
        result = body(record)
    except SystemExit:
        record("ended by a signal or the time limit")
    except Exception:
        record(traceback.format_exc())
    record({HELD: "the rule held", BROKEN: "the rule was broken",
            COULD_NOT_RUN: "the case could not run"}[result])
    sys.stdout.flush()
    os._exit(result)


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - START:8.3f} {text}\n")
            self._file.flush()


def free_ports(ips, names):
    """Returns a port for each name that is free at every address, all of them different."""
    while True:
        held = {name: [socket.create_server((ips[0], 0))] for name in names}
        ports = {name: socks[0].getsockname()[1] for name, socks in held.items()}
        try:
            for name, socks in held.items():
                socks += [socket.create_server((ip, ports[name])) for ip in ips[1:]]
            return ports
        except OSError:
            pass
        finally:
            for socks in held.values():
                for sock in socks:
                    sock.close()


def _head(major, number):
    if number < 24:
        return bytes([major << 5 | number])
    for info, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if number < 1 << (8 * size):
            return bytes([major << 5 | info]) + number.to_bytes(size, "big")
    raise ValueError(number)


def to_cbor(value):
    if value is None:
        return b"\xf6"
    if isinstance(value, bool):
        return b"\xf5" if value else b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return _head(3, len(data)) + data
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(map(to_cbor, value))
    return _head(5, len(value)) + b"".join(
        to_cbor(key) + to_cbor(item) for key, item in value.items())


def read_head(sock, buf):
    """Reads the head of one HTTP message. Returns (first line, headers, rest), or None at the end."""
    while b"\r\n\r\n" not in buf:
        data = sock.recv(65536)
        if not data:
            return None
        buf += data
    head, buf = buf.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, buf


def read_body(sock, buf, length):
    """Returns (body, rest), or None at the end."""
    parts, size = [buf], len(buf)
    while size < length:
        data = sock.recv(65536)
        if not data:
            return None
        parts.append(data)
        size += len(data)
    buf = b"".join(parts)
    return buf[:length], buf[length:]


def read_message(sock, buf):
    """Reads one HTTP message. Returns (first line, headers, body, rest), or None at the end."""
    head = read_head(sock, buf)
    body = head and read_body(sock, head[2], int(head[1].get("content-length", 0)))
    return (head[0], head[1], *body) if body else None


class Store:
    """The platform's store: linearizable reads, watches, a history that is kept."""

    def __init__(self):
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._rev = 100
        self._server = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, key, value):
        with self._changed:
            self._rev += 1
            created = self._items.get(key, {}).get("create_revision", self._rev)
            item = {"key": key, "value": base64.b64encode(to_cbor(value)).decode(),
                    "rev": self._rev, "create_revision": created, "lease": 0}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            self._rev += 1
            self._items.pop(key, None)
            self._events.append({"key": key, "rev": self._rev, "removed": True})
            self._changed.notify_all()

    def _accept(self):
        while True:
            sock, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        buf = b""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while message := read_message(sock, buf):
                line, _, _, buf = message
                status, body = self._answer(line.split(" ")[1])
                data = to_cbor(body)
                sock.sendall(f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        except OSError:
            pass
        sock.close()

    def _answer(self, target):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if path == "/v1/kv-watch":
            return self._watch(prefix, int(query["after"]), int(query["wait_ms"]))
        with self._changed:
            if path == "/v1/kv-key":
                item = self._items.get(query.get("key"))
                return (200, item) if item else (404, {})
            keys = sorted(it for it in self._items
                          if it.startswith(prefix) and it > query.get("after", ""))
            items = [self._items[it] for it in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500,
                         "current_rev": self._rev}

    def _watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self._changed:
            while True:
                events = [it for it in self._events
                          if it["rev"] > after and it["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self._rev}
                self._changed.wait(left)


def make_config(version, routes, services, **limits):
    """Builds op/config. Routes are dicts; services map a name to its health path."""
    columns = ["name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms",
               "priority", "max_attempts", "service"]
    return {
        "version": version,
        "routes": {"columns": columns,
                   "rows": [[it[name] for name in columns] for it in routes]},
        "services": {"columns": ["name", "health_path", "max_conns", "protocol", "tls"],
                     "rows": [[name, path, 260, "h1", False]
                              for name, path in services.items()]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits},
    }


def _lookup(name, scopes):
    if name == ".":
        return scopes[-1]
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


def render(template, scopes, key="", is_last=True):
    """Fills in a settings template as DEPLOY.md tells."""
    pattern = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}|\{\{([^{}]+)\}\}", re.S)

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(text_of, value))
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    def fill(match):
        kind, name, body, plain = match.groups()
        if plain:
            if plain == "@":
                return key
            if plain == ",":
                return "" if is_last else ","
            return text_of(_lookup(plain, scopes))
        value = _lookup(name, scopes)
        if kind == "^":
            return "" if value not in (None, False) else render(body, scopes, key, is_last)
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return render(body, scopes + [value], key, is_last)
        return "".join(render(body, scopes + [it], str(name), n == len(entries) - 1)
                       for n, (name, it) in enumerate(entries))

    return pattern.sub(fill, template)


class Host:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name, ip, zone, store, folder, seeds, ports, record, grace_s=6):
        self.name, self.ip, self._record = name, ip, record
        self.front = (ip, ports["front"])
        self.readiness = (ip, ports["readiness"])
        self._fields = {
            "node": name, "zone": zone, "ip": ip,
            "zones": {"evora-sala-a": "alentejo", "beja-sala-b": "alentejo",
                      "portalegre-sala-c": "alentejo"},
            "listen": {it: f"{ip}:{ports[it]}" for it in ("front", "readiness", "control")},
            "port_range": [ports["peers"], ports["peers"]],
            "seeds": seeds, "provider": {"address": store.address},
            "bounds": {"probes_per_s": 60, "budget_slack": 62, "grace_s": grace_s},
        }
        self._folder = pathlib.Path(folder)
        self._log = open(self._folder / f"{name}.log", "ab")
        self.process = None

    def start(self, bootstrap=True):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]
        fields = {**self._fields, "bootstrap": bootstrap}
        settings = self._folder / f"{self.name}.json"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), [fields]))
        words = deploy["run"].split()
        words[words.index("--settings") + 1] = str(settings)
        if not (ROOT / words[0]).exists():
            words[0] = words[0].replace("target/", "build/", 1)
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self._log, stderr=self._log)
        self._record(f"host {self.name} started")

    def send(self, number):
        self._record(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection(self.readiness, timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(4096).split(b" ")[1:2] == [b"200"]
        except (OSError, IndexError):
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return False
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Deployment:
    """A store and some hosts on loopback addresses, ended by close()."""

    def __init__(self, record, hosts=2, grace_s=6):
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._temp.name
        self.store = Store()
        ips = [f"127.0.{40 + n}.{1 + os.getpid() % 250}" for n in range(hosts)]
        ports = free_ports(ips, ("front", "readiness", "control", "peers"))
        seeds = [f"{ip}:{ports['control']}" for ip in ips[:3]]
        zones = ["evora-sala-a", "beja-sala-b", "portalegre-sala-c"]
        self.hosts = [Host(f"front-{zones[n % 3]}-{n + 1}", ip, zones[n % 3], self.store,
                           self.folder, seeds, ports, record, grace_s)
                      for n, ip in enumerate(ips)]

    def start(self):
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            if not host.wait_ready():
                raise RuntimeError(f"{host.name} did not become ready: {self.log_of(host)}")

    def log_of(self, host):
        return (pathlib.Path(self.folder) / f"{host.name}.log").read_text(errors="replace")

    def close(self):
        for host in self.hosts:
            host.stop()
        self._temp.cleanup()
