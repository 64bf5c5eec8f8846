"""Streams that may be resumed, while one server crashes and another one is grey."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from parts import *  # noqa: E402,F403

ENGINES = 7
STREAMS = 42
EVENTS = 20
ROUNDS = 6
GREY_SHARE = 0.4  # `srv_grey`: x (.4) of the requests fail


class Grey(Engine):
    """Answers with its own 500 to at most 0.4 of its requests."""

    is_grey = False

    def __init__(self, *arguments):
        self.asked = self.failed = 0
        self.tally = threading.Lock()
        super().__init__(*arguments)

    def count_events(self, request):
        return EVENTS

    def fails(self, request, ident):
        with self.tally:
            self.asked += 1
            chosen = (self.is_grey and request.header("last-event-id") is not None
                      and self.failed + 1 <= GREY_SHARE * self.asked)
            self.failed += chosen
            return chosen


def stream(site, machine, ident, results):
    """Asks for one stream, and reports how its answer ended."""
    record = site.record
    record.line(f"client sends {ident} to {machine.name}")
    head = (f"POST /notes/{ident} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\nRequest-Id: {ident}\r\n"
            f"Deadline-Ms: 9000\r\nModel: {MODEL}\r\nToken-Counts: 16,{EVENTS}\r\n"
            f"Prompt-Prefix: {abs(hash(ident)) % 65536:x}:16\r\nContent-Length: 0\r\n\r\n")
    received = b""
    try:
        with socket.create_connection(("127.0.0.1", machine.front), timeout=9) as sock:
            sock.sendall(head.encode())
            while not received.endswith(b"\r\n0\r\n\r\n"):
                data = sock.recv(65536)
                if not data:
                    break
                received += data
                if b"\r\n\r\n" in received and b"chunked" not in received.split(b"\r\n\r\n")[0]:
                    break
    except OSError as e:
        record.line(f"client of {ident}: {e}")
    status = received.split(b" ")[1].decode() if received else "none"
    is_complete = received.endswith(b"\r\n0\r\n\r\n")
    ids = [int(l[4:]) for l in received.split(b"\n") if l.startswith(b"id: ")]
    is_whole = ids == list(range(EVENTS))
    bad = status == "200" and is_complete and not is_whole
    jump = ids != list(range(len(ids)))
    record.line(f"client has {ident}: status {status}, {'complete' if is_complete else 'broken off'}, "
                f"{len(ids)} events of {EVENTS}{' BROKEN' if bad or jump else ''}")
    results.append((ident, bad or jump))


def run(site):
    site.add(fronts=3, stores=3)
    route = {"name": "notes", "host": HOST, "path-prefix": "/notes/", "kind": "unsafe",
             "streaming": True, "resumable": True, "sticky": True, "timeout-ms": 10000, "aim-ms": 400,
             "priority": 1, "service": "writer", "max-attempts": 4}
    service = {"name": "writer", "max-conns": 130, "health-path": "/health",
               "engine": {"slots": 8, "kv-capacity-tokens": 91958, "models": [{"name": MODEL}]}}
    site.store.put("config", "main", config([route], [service]))
    zones = ["zone-a", "zone-b", "zone-c"]
    engines = [Grey(site.store, site.record, f"i-{n}", "writer", zones[n % 3], 8, [MODEL])
               for n in range(ENGINES)]
    site.start(site.fronts)
    wait("the disks to be known", lambda: all(m.has_logged('"disks":3') for m in site.fronts))
    results = []
    for turn in range(ROUNDS):
        engines[1].is_grey = TROUBLE
        threads = []
        for number in range(STREAMS):
            thread = threading.Thread(target=stream, args=(
                site, site.fronts[number % 3], f"s{turn}x{number:02d}", results))
            thread.start()
            threads.append(thread)
        time.sleep(1.0)
        if TROUBLE:
            victim = engines[0]
            site.record.line(f"server {victim.ident} crashes")
            victim.crash()
        for thread in threads:
            thread.join()
        if TROUBLE:
            # Its entry expires after three heartbeats; it is back with a new id.
            time.sleep(3 * HEARTBEAT_S)
            site.store.remove("servers", victim.ident)
            engines[0] = Grey(site.store, site.record, f"i-0-{turn}", "writer", zones[0], 8, [MODEL])
        time.sleep(1.0)
        if any(bad for _, bad in results):
            break
    grey = engines[1]
    site.record.line(f"the grey server answered 500 to {grey.failed} of {grey.asked} requests")
    broken = [ident for ident, bad in results if bad]
    print(f"{len(results)} streams, ended as complete before their last event: {len(broken)}")
    site.record.line(f"ORDER broken by {len(broken)} of {len(results)} streams: {broken}")
    if not TROUBLE and len(results) != ROUNDS * STREAMS:
        raise CannotRun("not all streams were asked for")
    return bool(broken)


main(run, os.path.dirname(os.path.abspath(__file__)))
