"""Case 1: a late second copy of a refusal is taken for the answer to the next send of its request."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))
import standins  # noqa: E402

REQUESTS = 100
PAUSE_S = 0.05
# As many as tramites has. Five srv_crash entries of share 0.28 (the site's largest
# is 0.176) take this many of them on the bench, and leave one.
UPSTREAMS = 8
LOST_AT_ONCE = (2, 2, 1, 1, 1)
ENTRY_EXPIRES_S = 3 * 1.5
# When these requests arrive, the upstream's slots are taken for a moment. With the
# disruption it sends each of these refusals twice: 4 of over 100 answers.
FULL_AT = (20, 40, 60, 80)


def case(record, trouble):
    deployment = standins.Deployment(record, hosts=1, zones=("mza-centro",))
    try:
        number = {"now": 0}
        refused = set()

        def decide(_, request):
            if number["now"] in FULL_AT and request.id not in refused and not request.id.startswith("f"):
                refused.add(request.id)
                return "full"
            return "run"

        def extra(_, request, status):
            return trouble and status == 503 and request.id in refused

        def upstream(name):
            return deployment.add(standins.Upstream(record, name, "tramites", "mza-centro", slots=3, work_ms=78,
                                                    decide=decide, extra=extra))

        upstreams = [upstream(f"i-{n}a") for n in range(1, UPSTREAMS + 1)]
        deployment.publish([standins.route("r-filing", "/renewal/", "tramites", "unsafe", timeout_ms=600,
                                           target_latency_ms=250, max_attempts=2)],
                           [standins.service("tramites", max_conns=220)])
        deployment.start()
        if trouble or os.environ.get("TROUBLE") == "crash":
            lose(deployment, upstreams[1:])
        time.sleep(3)
        client = standins.Client(record, deployment.hosts[0])
        answers = {}
        for n in range(REQUESTS):
            time.sleep(PAUSE_S)
            number["now"] = n
            request_id = f"{n:016x}"
            answer = client.call("POST", "/renewal/new", request_id, b"permit 7, fee 100", deadline_ms=600)
            answers[request_id] = answer
            if answer and answer.status == 503:
                # 503 promises that nothing has run: the client asks again, on a new
                # connection and under a new id.
                client.close()
                time.sleep(float(answer.headers.get("retry-after", 0)))
                again = "f" + request_id[1:]
                answers[again] = client.call("POST", "/renewal/new", again, b"permit 7, fee 100", deadline_ms=500)
        time.sleep(1)
        return judge(record, answers, upstreams)
    finally:
        deployment.close()


def lose(deployment, upstreams):
    """Loses upstreams for good, in the steps of five srv_crash entries of share 0.28."""
    left = list(upstreams)
    crashed_at = []
    for count in LOST_AT_ONCE:
        for it in [left.pop() for _ in range(count)]:
            it.crash()
            crashed_at.append((time.monotonic(), it))
        time.sleep(1)
    # The store takes an entry away after three heartbeat intervals of silence.
    for at, it in crashed_at:
        time.sleep(max(0.0, at + ENTRY_EXPIRES_S - time.monotonic()))
        deployment.store.put(f"servers/{it.id}", None)


def judge(record, answers, upstreams):
    """The rule REFUSED as written, for requests that may run once."""
    runs = [run[0] for it in upstreams for run in it.runs]
    served = sum(1 for it in answers.values() if it and it.status == 200)
    record.write("result", f"{len(answers)} requests, {served} answered 200, {len(runs)} runs")
    if served < len(answers) // 2:
        raise standins.CannotRun("most requests were not served")
    broken = []
    for request_id, answer in answers.items():
        if answer and answer.status in (429, 503, 408, 421) and request_id in runs:
            broken.append(f"REFUSED: {request_id} was answered {answer.status} and has run")
            if "f" + request_id[1:] in runs:
                record.write("result", f"the filing of {request_id} has run a second time, when its client came back")
        if runs.count(request_id) > 1:
            record.write("result", f"{request_id} ran {runs.count(request_id)} times")
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(case, HERE))
