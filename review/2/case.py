"""An unsafe request with a long body is broken off while its upstream, which reads slowly, works."""

import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from support.platform import (BROKEN, HELD, Deployment, make_config, read_body, read_head, run_case)
from support.upstream import Upstream, ask, request_bytes

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6
REQUESTS = 4
BODY_BYTES = 360_000
WORK_S = 1.6
TIMEOUT_MS = 6000


class UploadUpstream(Upstream):
    """Works on an upload for WORK_S. With the disruption it reads most of the body only then."""

    def _serve(self, sock):
        buf = b""
        try:
            while head := read_head(sock, buf):
                line, headers, buf = head
                if line.startswith("GET /health "):
                    self.on_health(sock, {})
                    continue
                request = headers["x-damasktack-request-id"]
                length = int(headers["content-length"])
                self.runs.append(request)
                self.record(f"upstream {self.id} runs {request}")
                if TROUBLE:
                    time.sleep(WORK_S)
                body = read_body(sock, buf, length)
                if body is None:
                    raise OSError("its connection was closed")
                if not TROUBLE:
                    time.sleep(WORK_S)
                buf = body[1]
                self.answer(sock, 200, self.own_headers(request), self.body_of(request))
                self.record(f"upstream {self.id} answered {request}")
        except OSError as error:
            self.record(f"upstream {self.id} cannot go on: {error}")
        sock.close()


def send(host, record, name, results):
    record(f"client sends POST {name}")
    sent_at = time.monotonic()
    data = request_bytes("POST", "gw.example", "/file/x", name, TIMEOUT_MS, b"f" * BODY_BYTES)
    got = ask(host.front, data, TIMEOUT_MS / 1000 + 1)
    took = time.monotonic() - sent_at
    served = bool(got) and "x-damasktack-server-signature" in got[1]
    results[name] = (served, took)
    record(f"client got {name}: {got[0] if got else 'no answer'}"
           f"{' of the upstream' if served else ''} after {took:.2f} s")


def play(record):
    deployment = Deployment(record, hosts=2, grace_s=GRACE_S)
    try:
        store = deployment.store
        upstreams = [UploadUpstream(f"i-{n:08x}", "archiv", zone, store, record)
                     for n, zone in enumerate(["evora-sala-a", "beja-sala-b"] * 2)]
        store.put("op/config", make_config(
            7, [{"name": "r-file", "host": "gw.example", "prefix": "/file/", "kind": "unsafe",
                 "timeout_ms": TIMEOUT_MS, "target_latency_ms": 3000, "priority": 1,
                 "max_attempts": 2, "service": "archiv"}], {"archiv": "/health"}))
        deployment.start()
        host = deployment.hosts[1]
        results = {}
        threads = [threading.Thread(target=send, args=(host, record, f"file-{n}", results))
                   for n in range(REQUESTS)]
        for it in threads:
            it.start()
        time.sleep(0.3)
        host.send(signal.SIGTERM)
        host.process.wait(timeout=GRACE_S)
        record(f"host {host.name} ended")
        for it in threads:
            it.join()
        ran = {name for it in upstreams for name in it.runs}
        if not ran:
            raise RuntimeError("no request reached an upstream")
        lost = sorted(name for name, (served, took) in results.items()
                      if not served and name in ran and took < TIMEOUT_MS / 1000)
        for name in lost:
            record(f"LOST: {name} was passed on and broken off while its upstream was at work")
        print(f"{len(ran)} requests passed on after which SIGTERM came; {len(lost)} broken off")
        return BROKEN if lost else HELD
    finally:
        deployment.close()


run_case(HERE, play)
