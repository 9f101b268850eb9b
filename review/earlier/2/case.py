"""Case 2: a late second copy of a rejected health check is taken for a request's answer."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))
import standins  # noqa: E402

SERVICES = ("orders-a", "orders-b", "orders-c")
# Each service has two upstreams. Each of them rejects its first health check, and
# sends that answer a second time: 6 copies for over 100 answers in all.
ROUNDS = 34


def case(record, trouble):
    deployment = standins.Deployment(record, hosts=1)
    try:
        asked = set()

        def health(upstream, _):
            """The slots are taken when the first health check comes."""
            if upstream.id in asked:
                return "well"
            asked.add(upstream.id)
            return "full"

        def extra(_, request, status):
            return trouble and request.target == "/health" and status == 503

        routes, services = [], []
        for name in SERVICES:
            for n in (1, 2):
                deployment.add(standins.Upstream(record, f"i-{name}-{n}", name, "zone-a", tells_load=False, slots=30,
                                                 work_ms=210, health=health, extra=extra, extra_ms=100))
            routes.append(standins.route(f"r-{name}", f"/{name}/", name, "unsafe", timeout_ms=3000,
                                         target_latency_ms=800))
            services.append(standins.service(name))
        deployment.publish(routes, services)
        deployment.start()
        answers = {}

        def caller(n, name):
            client = standins.Client(record, deployment.hosts[0], f"client-{n}")
            for k in range(ROUNDS):
                request_id = f"{n:08x}{k:08x}"
                answers[request_id] = client.call("POST", f"/{name}/new", request_id, b"order 7", deadline_ms=3000)
                time.sleep(0.05)

        callers = [threading.Thread(target=caller, args=it, daemon=True) for it in enumerate(SERVICES)]
        for it in callers:
            it.start()
        for it in callers:
            it.join(90)
        time.sleep(1.5)
        return judge(record, answers, deployment.upstreams)
    finally:
        deployment.close()


def judge(record, answers, upstreams):
    """The rule TWICE as written, for requests that may run once."""
    runs = [run[0] for it in upstreams for run in it.runs]
    served = sum(1 for it in answers.values() if it and it.status == 200)
    record.write("result", f"{len(answers)} requests, {served} answered 200, {len(runs)} runs")
    if served < len(answers) // 2:
        raise standins.CannotRun("most requests were not served")
    broken = []
    for request_id, answer in answers.items():
        if runs.count(request_id) > 1:
            broken.append(f"TWICE: {request_id} ran {runs.count(request_id)} times")
        if answer and answer.status in (429, 503, 408, 421) and request_id in runs:
            record.write("result", f"{request_id} was answered {answer.status} and has run")
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(case, HERE))
