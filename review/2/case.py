"""A second answer to a refused send arrives while the same request runs at the same upstream."""

import os
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from support.platform import BROKEN, HELD, Deployment, make_config, run_case
from support.upstream import Upstream, ask, request_bytes

# "0" leaves out the rejections and the second answers, "grey" the second answers alone.
TROUBLE = os.environ.get("TROUBLE", "1")
HOSTS = 2
UPSTREAMS = 6
LENGTH_S = 95.0
CLIENTS_PER_S = 10
WORK_S = 0.21
# `srv_grey` "shed all", x 0.55, is an entry of the site's days.
REJECTED = 0.55
# Of the answers to requests; `garble` "extra late" is x 0.03 on the site, so 0.06 is the most.
SECOND_ANSWERS = 0.05
LATE_S = 0.03
DEADLINE_MS = 1500
MOST_ATTEMPTS = 3
PROMISES = (408, 421, 429, 503)


class GreyUpstream(Upstream):
    """Rejects a part of its requests, and sends some of these answers a second time."""

    def __init__(self, name, *arguments):
        self._random = random.Random(name)
        self.answers, self.second_answers = 0, 0
        super().__init__(name, *arguments)

    def run(self, sock, connection, method, request, headers):
        self.answers += 1
        if TROUBLE == "0" or self._random.random() >= REJECTED:
            super().run(sock, connection, method, request, headers)
            return
        self.reject(sock, request, "rejects")
        if TROUBLE != "grey" and self._random.random() < SECOND_ANSWERS / REJECTED:
            self.second_answers += 1
            threading.Timer(LATE_S, self._reject_again, (sock, request)).start()

    def reject(self, sock, request, what):
        self.record(f"upstream {self.id} {what} {request}")
        self.answer(sock, 503, {"X-Damasktack-Request-Id": request,
                                "X-Damasktack-Not-Executed": 1})

    def _reject_again(self, sock, request):
        try:
            self.reject(sock, request, "sends its second answer, a rejection, to")
        except OSError:
            pass


class Client:
    """Sends an unsafe request and comes back after a promise, as PROTOCOL.md tells clients."""

    def __init__(self, number, hosts, record, statuses):
        self._number, self._hosts = number, hosts
        self._record, self._statuses = record, statuses

    def run(self):
        until = time.monotonic() + DEADLINE_MS / 1000
        for attempt in range(MOST_ATTEMPTS):
            left = until - time.monotonic()
            if left < WORK_S:
                return
            name = f"order-{self._number}-{attempt}"
            host = self._hosts[(self._number + attempt) % len(self._hosts)]
            data = request_bytes("POST", "gw.example", "/order/x", name, int(left * 1000), b"dock")
            self._record(f"client sends {name} to {host.name}")
            got = ask(host.front, data, left + 1)
            self._statuses[name] = got[0] if got else None
            self._record(f"client got {name}: {got[0] if got else 'no answer'}")
            if not got or got[0] not in PROMISES:
                return
            time.sleep(min(float(got[1].get("retry-after", 0)), left / 3))


def play(record):
    deployment = Deployment(record, hosts=HOSTS)
    try:
        store = deployment.store
        zones = ["evora-sala-a", "beja-sala-b", "portalegre-sala-c"]
        upstreams = [GreyUpstream(f"i-{n:08x}", "despacho", zones[n % 3], store, record, WORK_S)
                     for n in range(UPSTREAMS)]
        store.put("op/config", make_config(
            7, [{"name": "r-order", "host": "gw.example", "prefix": "/order/", "kind": "unsafe",
                 "timeout_ms": DEADLINE_MS, "target_latency_ms": 500, "priority": 1,
                 "max_attempts": 3, "service": "despacho"}], {"despacho": "/health"}))
        deployment.start()
        statuses, threads = {}, []
        until = time.monotonic() + LENGTH_S
        while time.monotonic() < until:
            client = Client(len(threads), deployment.hosts, record, statuses)
            threads.append(threading.Thread(target=client.run))
            threads[-1].start()
            time.sleep(1 / CLIENTS_PER_S)
        for it in threads:
            it.join()
        time.sleep(0.5)
        ran = {run for it in upstreams for run in it.runs}
        if not ran:
            raise RuntimeError("no request ran")
        refused = sorted(name for name, status in statuses.items()
                         if status in PROMISES and name in ran)
        again = 0
        for name in refused:
            order, attempt = name.rsplit("-", 1)
            is_again = f"{order}-{int(attempt) + 1}" in ran
            again += is_again
            record(f"REFUSED: {name} was answered {statuses[name]} and ran"
                   f"{', and ran again when its client came back' if is_again else ''}")
        print(f"{len(statuses)} unsafe requests, {sum(it.answers for it in upstreams)} answers, "
              f"{sum(it.second_answers for it in upstreams)} second answers; "
              f"{len(refused)} answered as not run although they ran, {again} of them ran again")
        return BROKEN if refused else HELD
    finally:
        deployment.close()


run_case(HERE, play)
