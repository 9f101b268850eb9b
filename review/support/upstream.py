"""Upstreams and clients as PROTOCOL.md describes them, for the cases of this review."""

import select
import socket
import threading
import time

from support.platform import read_message

HEARTBEAT_S = 1.5


class Upstream:
    """An upstream of one service. It registers in the store and serves requests."""

    tells_load = True
    slots = 6

    def __init__(self, name, service, zone, store, record, work_s=0.1):
        self.id, self.service, self.zone = name, service, zone
        self.store, self.record, self.work_s = store, record, work_s
        self.lock = threading.Lock()
        self.running = 0
        self.runs = []
        self._sequence = 0
        self._ended = threading.Event()
        self._server = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._server.getsockname()[1]
        self._register("ready")
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _register(self, state):
        self._sequence += 1
        self.store.put(f"servers/{self.id}", {
            "address": self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": state, "sequence": self._sequence, "cold_ms": 0}})

    def _beat(self):
        while not self._ended.wait(HEARTBEAT_S):
            self._register("ready")

    def close(self):
        self._ended.set()

    def _accept(self):
        while True:
            sock, _ = self._server.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        connection = {"buf": b""}
        try:
            while message := read_message(sock, connection["buf"]):
                line, headers, body, connection["buf"] = message
                method, target, _ = line.split(" ")
                if target == "/health":
                    self.on_health(sock, connection)
                else:
                    self.on_request(sock, connection, method, target, headers, body)
        except OSError:
            pass
        sock.close()

    def answer(self, sock, status, headers=None, body=b""):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if self.tells_load:
            lines.append(f"X-Damasktack-Server-Load: {self.running},0,{self.slots}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def on_health(self, sock, connection):
        self.answer(sock, 200, {"X-Damasktack-Instance-Id": self.id})

    def on_request(self, sock, connection, method, target, headers, body):
        request = headers.get("x-damasktack-request-id", "")
        if not request:
            self.answer(sock, 400, {"X-Damasktack-Not-Executed": 1})
            return
        if headers.get("x-damasktack-target-instance", self.id) != self.id:
            self.answer(sock, 421, {"X-Damasktack-Instance-Id": self.id})
            return
        self.run(sock, connection, method, request, headers)

    def run(self, sock, connection, method, request, headers):
        with self.lock:
            self.running += 1
            self.runs.append(request)
        self.record(f"upstream {self.id} runs {method} {request}")
        try:
            if self._work(sock, request):
                self.answer(sock, 200, self.own_headers(request), self.body_of(request))
                self.record(f"upstream {self.id} answered {request}")
            else:
                self.record(f"upstream {self.id} lost the connection of {request}")
                raise OSError
        finally:
            with self.lock:
                self.running -= 1

    def own_headers(self, request):
        return {"X-Damasktack-Request-Id": request, "Keep-Alive": "timeout=10",
                "X-Damasktack-Server-Signature": f"{self.id}.{request}"}

    def body_of(self, request):
        return f"{self.id} did {request}".encode()

    def _work(self, sock, request):
        return self._pass_time(sock, self.work_s)

    @staticmethod
    def _pass_time(sock, seconds):
        """Returns False if the connection closes meanwhile."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            readable, _, _ = select.select([sock], [], [], left)
            if readable:
                if not sock.recv(1, socket.MSG_PEEK):
                    return False
                time.sleep(min(left, 0.005))
        return True


def request_bytes(method, host, path, request, deadline_ms, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"X-Damasktack-Request-Id: {request}",
             f"X-Damasktack-Deadline-Ms: {deadline_ms}"]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def ask(address, data, timeout):
    """Sends one request on a new connection. Returns (status, headers), or None."""
    try:
        with socket.create_connection(address, timeout=1) as sock:
            sock.settimeout(timeout)
            sock.sendall(data)
            message = read_message(sock, b"")
            if message is None:
                return None
            return int(message[0].split(" ")[1]), message[1]
    except OSError:
        return None
