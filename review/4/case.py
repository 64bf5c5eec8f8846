"""The settings file of the machine that runs a batch job changes: it is no seed any more."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from parts import *  # noqa: E402,F403

ITEMS = 48
EVENTS = 40
CANCEL_S = 3.0  # cancel-ms
AFTER_END_S = 14.0


class Writer(Engine):
    """A model server that records when each item reached it."""

    arrivals = []

    def run(self, peer, request, ident, base):
        self.arrivals.append((time.monotonic(), ident, self.ident))
        super().run(peer, request, ident, base)


def read(site, machine, is_reading):
    position, number = 0, 0
    while is_reading.is_set():
        status, _, body = call(machine, "GET", f"/lots/job-1?after={position}", f"read-{number}",
                               headers=[("Wait-Ms", 400)], timeout=2.5)
        if status == 200:
            position = json.loads(body)["next-token"]
        site.record.line(f"client reads job-1 -> {status}, {position} results")
        number += 1
        time.sleep(0.1)


def run(site):
    site.add(fronts=4, stores=3)
    routes = [{"name": "jobs", "host": HOST, "path-prefix": "/jobs/", "kind": "rollout", "timeout-ms": 10000,
               "aim-ms": 400, "priority": 1, "service": "writer", "max-attempts": 3,
               "run-target-ms": 7500, "max-wait-s": 40, "sticky": True}]
    services = [{"name": "writer", "max-conns": 130, "health-path": "/health",
                 "engine": {"slots": 2, "kv-capacity-tokens": 91958, "models": [{"name": MODEL}]}}]
    site.store.put("config", "main", config(routes, services))
    zones = ["zone-a", "zone-b", "zone-c"]
    engines = [Writer(site.store, site.record, f"i-{n}", "writer", zones[n % 3], 2, [MODEL]) for n in range(3)]
    seeds, spare = site.fronts[:3], site.fronts[3]
    site.start(seeds)
    time.sleep(2.0)

    # A trainer submits a batch job of more items than the servers have slots for.
    status, _, _ = call(spare, "POST", "/jobs/step", "job-1", body=job(ITEMS, "it", tokens=(16, EVENTS)))
    site.record.line(f"client submits job-1 with {ITEMS} items -> {status}")
    if status != 202:
        raise CannotRun(f"the job was answered {status}")
    wait("items at servers", lambda: len(Writer.arrivals) >= 6)
    text = '"payload":"started running job"'
    wait("a machine that runs the job", lambda: any(m.has_logged(text) for m in site.fronts))
    runner = next(m for m in site.fronts if m.has_logged(text))
    site.record.line(f"{runner.name} runs job-1")
    time.sleep(1.0)

    # A trainer reads about twice per second.
    is_reading = threading.Event()
    is_reading.set()
    reader = threading.Thread(target=read, args=(site, spare, is_reading))
    reader.start()
    time.sleep(1.0)

    # The platform writes new settings, over 2 s. The machine that runs the job is no seed in
    # them; the others are. Only that machine gets SIGHUP, the others find the file changed.
    new = [m for m in site.fronts if m is not runner] if TROUBLE else seeds
    others = [m for m in site.machines if m is not runner]
    for machine in [runner, *others]:
        machine.write_settings([m.control_address for m in new])
        site.record.line(f"platform writes settings of {machine.name} with the seeds {[m.name for m in new]}")
        if machine is runner:
            machine.signal(signal.SIGHUP)
            time.sleep(1.5)
    time.sleep(3.0)
    is_reading.clear()
    reader.join()

    # The trainer ends the job.
    status, tries = 0, 0
    while status != 200 and tries < 5:
        status, _, _ = call(spare, "DELETE", "/lots/job-1", f"end-{tries}")
        tries += 1
        site.record.line(f"client ends job-1 -> {status}")
    if status != 200:
        raise CannotRun(f"the end was answered {status}")
    ended = time.monotonic()
    time.sleep(AFTER_END_S)
    late = [(at - ended, ident, server) for at, ident, server in Writer.arrivals if at - ended > CANCEL_S]
    for seconds, ident, server in late:
        site.record.line(f"UNASKED: {ident} ran at {server} {seconds:.1f} s after the end was acknowledged")
    total = len(Writer.arrivals)
    print(f"{total} items ran, {len(late)} of them later than {CANCEL_S} s after the end of their job")
    site.record.line(f"{total} items ran, {len(late)} later than cancel-ms after the end of their job")
    return bool(late)


main(run, os.path.dirname(os.path.abspath(__file__)))
