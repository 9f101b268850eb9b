"""Case 3: a planned stop cuts requests of a client that keeps a second one on its way."""

import collections
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))
import standins  # noqa: E402

GRACE_S = 6
CLIENTS = 6
WORK_MS = 160
DEADLINE_MS = 1200


class PipeliningClient(threading.Thread):
    """Keeps `depth` safe requests on their way on one connection, and stops where the host says so."""

    def __init__(self, record, host, number, depth):
        super().__init__(daemon=True)
        self.record = record
        self.host = host
        self.name_text = f"client-{number}"
        self.number = number
        self.depth = depth
        self.sent = 0
        self.answered = 0
        self.open_requests = collections.deque()
        self.told_to_close = False
        self.ended_at = None
        self.stopping = False

    def _send(self, sock):
        request_id = f"{self.number:08x}{self.sent:08x}"
        self.sent += 1
        self.open_requests.append((request_id, time.monotonic()))
        self.record.write(self.name_text, f"sends GET {request_id}")
        sock.sendall((f"GET /status/{self.sent} HTTP/1.1\r\nHost: park.example\r\n"
                      f"X-Damasktack-Request-Id: {request_id}\r\nX-Damasktack-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode())

    def run(self):
        buffered = b""
        sock = socket.create_connection(("127.0.0.1", self.host.front), timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            # The second request follows while the upstream works on the first.
            for _ in range(self.depth):
                self._send(sock)
                time.sleep(WORK_MS / 1000 / self.depth)
            while self.open_requests:
                head, body, buffered = standins.read_message(sock, buffered)
                answer = standins.Answer(head, body)
                request_id, _ = self.open_requests.popleft()
                self.answered += 1
                self.record.write(self.name_text, f"got {answer.status} for {request_id}"
                                  f" connection={answer.headers.get('connection', '-')}")
                if answer.headers.get("connection", "").lower() == "close":
                    # What was sent behind this answer counts as not read.
                    self.told_to_close = True
                    return
                if not self.stopping:
                    self._send(sock)
        except (OSError, ConnectionError) as error:
            self.record.write(self.name_text, f"connection ended with {len(self.open_requests)} requests open: {error}")
        finally:
            self.ended_at = time.monotonic()
            sock.close()


def case(record, trouble):
    deployment = standins.Deployment(record, hosts=1, zones=("evora-sala-a",))
    try:
        for n in (1, 2, 3):
            deployment.add(standins.Upstream(record, f"i-{n}", "painel-parque", "evora-sala-a", work_ms=WORK_MS))
        deployment.publish([standins.route("r-status", "/status/", "painel-parque", "safe", timeout_ms=DEADLINE_MS,
                                           target_latency_ms=400)], [standins.service("painel-parque")])
        deployment.start()
        host = deployment.hosts[0]
        clients = [PipeliningClient(record, host, n, 2) for n in range(CLIENTS)]
        for it in clients:
            it.start()
        time.sleep(3)
        told_at = time.monotonic()
        if trouble:
            host.process.send_signal(signal.SIGTERM)
            record.write("platform", "SIGTERM")
            try:
                host.process.wait(max(0.0, told_at + GRACE_S - time.monotonic()))
                record.write("platform", f"the host has ended {time.monotonic() - told_at:.2f} s after SIGTERM")
            except subprocess.TimeoutExpired:
                record.write("platform", "SIGKILL")
                host.kill()
        else:
            time.sleep(GRACE_S)
        for it in clients:
            it.stopping = True
        for it in clients:
            it.join(3)
        return judge(record, clients, deployment.upstreams, told_at)
    finally:
        deployment.close()


def judge(record, clients, upstreams, told_at):
    """The rule LOST around a SIGTERM as written, with its excuses."""
    ran = {run[0]: run[2] for it in upstreams for run in it.runs}
    answered = sum(it.answered for it in clients)
    record.write("result", f"{sum(it.sent for it in clients)} requests, {answered} answered, {len(ran)} run")
    if answered < 50:
        raise standins.CannotRun("most requests were not served")
    broken = []
    for client in clients:
        for request_id, sent_at in client.open_requests:
            if client.told_to_close or client.ended_at is None or request_id not in ran:
                continue
            had_ms = (client.ended_at - sent_at) * 1000
            after_s = sent_at - told_at
            # A request that was sent no later than 3 s after the SIGTERM is excused if it was
            # still at work in the last sixth of grace_s; all are once their time is up.
            if after_s <= 3 or had_ms >= DEADLINE_MS:
                continue
            broken.append(f"LOST: {request_id}, sent {after_s:.2f} s after SIGTERM, was passed on to an upstream, and its "
                          f"connection ended {had_ms:.0f} ms later without an answer")
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(case, HERE))
