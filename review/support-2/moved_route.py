"""CONFIG: a new version moves a route; which service runs its requests then?"""

import threading
import time

import fleet

CONFIG_S = 2  # config_ms
SETTLING_S = 4  # more than stable_window_ms
WATCH_S = 5
OLD, NEW = "huvo11a", "kafi81c"


def route(prefix, service):
    return {
        "prefix": prefix,
        "kind": "safe",
        "timeout_ms": 1200,
        "target_latency_ms": 400,
        "service": service,
    }


def routes(service):
    """Both services stay in the configuration."""
    return [route("/lepu270/", service), route("/a/", OLD), route("/b/", NEW)]


def play(record, hosts, first_revision, new_limits):
    """Returns whether only the new service ran requests after config_ms."""
    deployment = fleet.Fleet(hosts, routes(OLD), first_revision)
    try:
        return observe(deployment, record, new_limits)
    finally:
        deployment.close()


def observe(deployment, record, new_limits):
    for service in (OLD, NEW):
        for _ in range(3):
            fleet.Upstream(
                deployment.store,
                record,
                service,
                lambda run, name=service: (fleet.OK, name.encode()),
            )
    deployment.start()
    time.sleep(SETTLING_S)
    deployment.put_config(9, routes(NEW), new_limits)
    acknowledged = time.monotonic()
    record.line(f"store acknowledges version 9: /lepu270/ moves to {NEW}")
    counts = {}  # host: [run by the new service, run by the old service]

    def client(daemon):
        caller = fleet.Caller(daemon)
        count = counts[daemon.name] = [0, 0]
        while (now := time.monotonic()) < acknowledged + CONFIG_S + WATCH_S:
            request = caller.send("GET", "/lepu270/2f", 1200)
            status, _, body = caller.read()
            ran_by = body.decode() if status == 200 else ""
            late = now - acknowledged
            record.line(
                f"{daemon.name}: {request} sent {late:.3f} s after the "
                f"acknowledgement: {status} {ran_by}"
            )
            if late > CONFIG_S and ran_by:
                count[ran_by == OLD] += 1
            time.sleep(0.1)
        caller.close()

    threads = [
        threading.Thread(target=client, args=(it,)) for it in deployment.daemons
    ]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    summary = f"sent over {CONFIG_S} s after the acknowledgement: " + "; ".join(
        f"{name}: {new} run by the new service, {old} by the old one"
        for name, (new, old) in sorted(counts.items())
    )
    record.line(summary)
    print(summary)
    if not any(map(sum, counts.values())):
        raise fleet.CannotRun("no request ran")
    return not any(old for _, old in counts.values())
