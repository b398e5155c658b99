"""A ping of another writer, without the field `version`, reaches the process beside a
host. Later the host reports that it drains, and the report is acknowledged. The rule is
broken if the host still gets new requests later than drain_ms after that.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import fleet  # noqa: E402

SERVICE = "order-desk"
FLOWS_PER_S = 40
# The host goes on for drain_ms after its ack and a little longer.
SERVES_AFTER_ACK_S = 8.0
BUDGET_S = 2.5


class Case(fleet.Fleet):
    def __init__(self):
        super().__init__(HERE / "record.txt")
        self.leaving = None
        self.sent_at = {}
        self.late = []
        self.outcomes = {}
        self.served_by = {}

    def on_host_packet(self, host, key, packet, flow, now):
        """Judges the opening packet that the host takes."""
        if not packet.flags & fleet.packets.SYN or flow is not None:
            return
        acked = host.acked.get("draining")
        if acked is None:
            return
        limit = acked + fleet.BOUNDS["drain_ms"] / 1000
        sent = self.sent_at.get((key[0], key[1]), now)
        if now > limit and sent > limit:
            self.late.append((host, key, sent - acked, now - acked))

    def on_run(self, host, key, request):
        self.served_by[(key[0], key[1])] = host
        self.note("run", host=host.machine.name, request=request)

    async def one_request(self, number):
        consumer = random.choice(self.consumers)
        flow = consumer.new_flow(self.ROUTES[SERVICE])
        self.sent_at[(consumer.raw_ip, flow.port)] = time.monotonic()
        request = f"q{number:06d}"
        self.note("sent", request=request, consumer=consumer.ip, port=flow.port)
        outcome = "unopened"
        if await flow.open():
            outcome = await flow.request(request, BUDGET_S)
            flow.close()
        self.note("ended", request=request, outcome=outcome)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def traffic(self):
        number = 0
        while True:
            number += 1
            asyncio.create_task(self.one_request(number))
            await asyncio.sleep(1 / FLOWS_PER_S)

    async def ping_of_another_writer(self, host):
        body = {"service": SERVICE, "address": host.machine.address("app"),
                "zone": host.machine.zone, "slots": 3, "state": "ready", "cold_left_ms": 0,
                "seq": 1, "born": int(time.time() * 1000)}
        url = f"http://{host.machine.address('control')}/v1/backend/i-0ther00000"
        status = await fleet.http("PUT", url, body)
        self.note("ping of another writer", host=host.machine.name, status=status)


async def case(trouble):
    deployment = Case()
    try:
        await deployment.start()
        traffic = asyncio.create_task(deployment.traffic())
        await asyncio.sleep(4.0)
        host = deployment.hosts[2]
        if trouble:
            await deployment.ping_of_another_writer(host)
        await asyncio.sleep(4.0)
        await host.leave(SERVES_AFTER_ACK_S)
        await asyncio.sleep(4.0)
        traffic.cancel()
        await asyncio.sleep(BUDGET_S + 1.5)
        if not deployment.all_running():
            raise fleet.CaseFailed("a process ended")
        if deployment.outcomes.get("200", 0) < 100 or "draining" not in host.acked:
            raise fleet.CaseFailed(f"too little was served: {deployment.outcomes}")
        print("outcomes", deployment.outcomes)
        broken = []
        for host, key, sent, taken in deployment.late:
            ran = deployment.served_by.get((key[0], key[1]))
            text = (f"port {key[1]}: sent {sent:.3f} s, taken by {host.machine.name} "
                    f"{taken:.3f} s after its draining was acknowledged, "
                    f"{'run there' if ran is host else 'not run there'}")
            deployment.note("broken", text=text)
            # A flow without a request does not count.
            if ran is host:
                broken.append(text)
        return broken
    finally:
        deployment.stop()


fleet.main(case)
