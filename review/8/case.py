"""A server that says it leaves goes on getting requests while the store is down.

The platform's store is silent for 4.5 s. In this time a server leaves without a
report: its entry is removed, it says `Server-Leaving: 1` in all its answers,
serves for drain-ms and a little longer, and exits.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from standins import HOST, KEY, TENANT, call, read_message, reset, response, run

SERVICE, SERVERS, WORK_S = "wuno96b", 3, 0.2
DOWN_S, DRAIN_S, LONGER_S = 4.5, 2.0, 1.0


class Server:
    """A plain server."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.is_leaving, self.is_up = False, True
        self.arrived = {}
        self.working = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.site.platform.put("servers", self.name, {
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "1",
            "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": int(time.time() * 1000)})

    def leave(self):
        self.is_leaving = True
        self.site.platform.remove("servers", self.name)
        self.site.record.write("server %s leaves: its entry is removed" % self.name)

    def exit(self):
        self.is_up = False
        self.server.close()
        self.site.record.write("server %s exits, at work on %s" % (self.name, sorted(self.working)))
        for writer in list(self.writers):
            reset(writer)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.is_up:
                message = await read_message(reader)
                if message is None:
                    break
                (_, path, _), headers, _ = message
                id = headers.get("request-id", "")
                leaving = {"Server-Leaving": "1"} if self.is_leaving else {}
                echo = {"Request-Id": id, "Server-Load": "%d,0,6" % len(self.working), **leaving}
                if path == "/health" or not id:
                    writer.write(response(503 if self.is_leaving else 200, {"Instance-Id": self.name, **leaving}))
                elif headers.get("expect-instance", self.name) != self.name:
                    writer.write(response(421, {**echo, "Not-Run": "1"}))
                else:
                    self.arrived[id] = time.monotonic()
                    self.working.add(id)
                    self.site.record.write("server %s begins to run %s" % (self.name, id))
                    await asyncio.sleep(WORK_S)
                    self.working.discard(id)
                    writer.write(response(200, {**echo, "Server-Stamp": "s.%s.%s" % (self.name, id)}, b"x" * 800))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def config():
    return {
        "version": 7,
        "routes": [{"name": "r-35ieisp", "host": HOST, "path-prefix": "/lohu930/", "kind": "unsafe",
                    "timeout-ms": 2000, "aim-ms": 400, "priority": 1, "service": SERVICE,
                    "max-attempts": 2, "public": False}],
        "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 110, "protocol": "h1",
                      "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


async def case(site, is_troubled):
    record, platform = site.record, site.platform
    await site.start_platform(config())
    zones = ["qc-est-a", "qc-est-b", "qc-est-c"]
    servers = [Server(site, "i-%d" % n, zones[n % 3]) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    await site.start_machines()
    leaver = servers[0]
    # By request: the machine that took it, and when the client sent it. By machine:
    # when it first passed on an answer with Server-Leaving.
    sent, told, lost = {}, {}, []
    pending = []

    async def send(n):
        id = "%016x" % (0x3d41d07be2a35000 + n)
        front = site.fronts[n % len(site.fronts)]
        sent[id] = (front.name, time.monotonic())
        headers = {"Host": HOST, "Request-Id": id, "Deadline-Ms": "2000", "X-Api-Key": KEY}
        status, got, _ = await call(front.front, "POST", "/lohu930/%x" % n, headers, b"{}", 2.5)
        says = ", Server-Leaving" if "server-leaving" in got else ""
        record.write("client: %s by %s is answered %d%s" % (id, front.name, status, says))
        if says:
            told.setdefault(front.name, time.monotonic())
        if status != 200:
            lost.append((id, status))

    async def trouble():
        await asyncio.sleep(2)
        if is_troubled:
            async def silence(method, target, body, writer):
                await asyncio.sleep(30)
                return "drop"
            platform.hook = silence
            for writer in list(platform.watching):
                writer.close()
            record.write("the store is silent")
        begun = time.monotonic()
        await asyncio.sleep(0.2)
        leaver.leave()
        await asyncio.sleep(DRAIN_S + LONGER_S)
        leaver.exit()
        await asyncio.sleep(max(0, begun + DOWN_S - time.monotonic()))
        platform.hook = None
        record.write("the store answers")

    troubles = asyncio.ensure_future(trouble())
    n = 0
    while not troubles.done() or n < 40:
        pending.append(asyncio.ensure_future(send(n)))
        n += 1
        await asyncio.sleep(0.05)
    await asyncio.wait(pending, timeout=5)
    late = []
    for id, arrived in leaver.arrived.items():
        front, at = sent[id]
        if front in told and at > told[front] + DRAIN_S:
            late.append(id)
            record.write("%s was sent %.3f s after %s had passed on Server-Leaving, and reached %s"
                         % (id, at - told[front], front, leaver.name))
    record.write("requests: %d; reached the leaving server too late: %d; not answered with success: %s"
                 % (n, len(late), lost))
    return not late


run(case, FOLDER)
