"""A host that was told to stop goes on taking requests from a client that pipelines, and cuts them."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from support.platform import (BROKEN, HELD, Deployment, make_config, read_message, run_case)
from support.upstream import Upstream, request_bytes

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6
WORK_S = 1.6
# Below WORK_S, so that a request follows before the one before has been answered.
GAP_S = 1.2
LENGTH_S = 12.0
TERM_AT_S = 4.0
# The rule excuses requests that were sent up to here after the SIGTERM, if they are at work late.
EXCUSED_S = 3.0
DEADLINE_MS = 3000
TIMEOUT_MS = 2000


class PipeliningClient:
    """Sends safe requests on one connection, each before the one before has been answered."""

    def __init__(self, address, record):
        self._address, self._record = address, record
        self._ended = threading.Event()
        self.sent, self.answered, self.ended_at = {}, set(), None

    def run(self):
        sock = socket.create_connection(self._address, timeout=1)
        sock.settimeout(None)
        reader = threading.Thread(target=self._read, args=(sock,), daemon=True)
        reader.start()
        until = time.monotonic() + LENGTH_S
        while time.monotonic() < until and not self._ended.is_set():
            name = f"report-{len(self.sent)}"
            self._record(f"client sends GET {name}")
            self.sent[name] = time.monotonic()
            try:
                sock.sendall(request_bytes("GET", "gw.example", "/report/x", name, DEADLINE_MS))
            except OSError:
                break
            self._ended.wait(GAP_S)
        reader.join(timeout=DEADLINE_MS / 1000 + 1)

    def _read(self, sock):
        buf = b""
        try:
            while message := read_message(sock, buf):
                line, headers, _, buf = message
                name = headers.get("x-damasktack-request-id", "?")
                self.answered.add(name)
                closes = headers.get("connection", "").lower() == "close"
                self._record(f"client got {name}: {line.split(' ')[1]}"
                             f"{', connection: close' if closes else ''}")
                if closes:
                    break
        except OSError:
            pass
        self.ended_at = time.monotonic()
        self._record("the client's connection ended")
        self._ended.set()


def play(record):
    deployment = Deployment(record, hosts=2, grace_s=GRACE_S)
    try:
        store = deployment.store
        upstreams = [Upstream(f"i-{n:08x}", "arquivo", zone, store, record, WORK_S)
                     for n, zone in enumerate(["evora-sala-a", "beja-sala-b"] * 2)]
        store.put("op/config", make_config(
            7, [{"name": "r-report", "host": "gw.example", "prefix": "/report/", "kind": "safe",
                 "timeout_ms": TIMEOUT_MS, "target_latency_ms": 1000, "priority": 2,
                 "max_attempts": 2, "service": "arquivo"}], {"arquivo": "/health"}))
        deployment.start()
        host = deployment.hosts[1]
        client = PipeliningClient(host.front, record)
        thread = threading.Thread(target=client.run)
        thread.start()
        time.sleep(TERM_AT_S)
        term_at = time.monotonic()
        if TROUBLE:
            host.send(signal.SIGTERM)
            try:
                host.process.wait(timeout=GRACE_S)
            except subprocess.TimeoutExpired:
                host.send(signal.SIGKILL)
            record(f"host {host.name} ended")
        thread.join()
        if not client.answered:
            raise RuntimeError("no request was answered")
        ran = {name for it in upstreams for name in it.runs}
        lost = []
        for name, sent_at in client.sent.items():
            if name in client.answered or name not in ran or client.ended_at is None:
                continue
            after, lasted = sent_at - term_at, client.ended_at - sent_at
            is_planned = TROUBLE and client.ended_at - term_at <= GRACE_S + 1
            is_excused = after <= EXCUSED_S or lasted >= min(TIMEOUT_MS, DEADLINE_MS) / 1000
            is_lost = is_planned and not is_excused
            record(f"{'LOST' if is_lost else 'not counted'}: {name}, sent {after:.2f} s after the "
                   f"time of SIGTERM, was passed on; its connection ended {lasted:.2f} s later")
            lost += [name] if is_lost else []
        print(f"{len(client.sent)} requests, {len(client.answered)} answered, {len(lost)} lost")
        return BROKEN if lost else HELD
    finally:
        deployment.close()


run_case(HERE, play)
