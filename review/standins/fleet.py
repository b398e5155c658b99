"""A small deployment on loopback addresses: the project's own programs as separate
processes, and stand-ins for store, routers, hosts and consumers in this process.

Each machine has a loopback address of its own. The stand-ins follow PROTOCOL.md; where
it says nothing they behave like sound ones.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path

import packets
import store as store_standin

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.55
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 4000, "ack_ms": 5000,
          "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 3000, "rollback_slack_ms": 250, "outer_ms": 12000,
          "recovery_s": 12, "reorder_ms": 2000, "max_flow_s": 60}
ZONES = {"valenzuela": "luzon", "pasig": "luzon", "calamba": "luzon"}


# ---------------------------------------------------------------- settings

def lookup(scopes, name):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(as_text(part) for part in value)
    return str(value)


SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
FIELD = re.compile(r"\{\{([\w.@,]+)\}\}")


def render(template, scopes):
    """Fills in a template of the deploy file, as DEPLOY.md describes it."""
    def section(match):
        value = lookup(scopes, match.group(1))
        if not value:
            return ""
        entries = value.items() if isinstance(value, dict) else enumerate(value)
        entries = list(entries)
        parts = []
        for index, (key, entry) in enumerate(entries):
            own = {".": entry, "@": key, ",": "," if index + 1 < len(entries) else ""}
            part = match.group(2)
            for name, text in own.items():
                part = part.replace("{{" + name + "}}", as_text(text))
            inner = [entry] + scopes if isinstance(entry, dict) else scopes
            parts.append(render(part, inner))
        return "".join(parts)
    return FIELD.sub(lambda match: as_text(lookup(scopes, match.group(1))),
                     SECTION.sub(section, template))


# ---------------------------------------------------------------- processes

class Machine:
    """A machine with one process of the deploy file."""

    def __init__(self, fleet, role, name, zone, ip, extra):
        self.fleet, self.role, self.name, self.zone, self.ip = fleet, role, name, zone, ip
        self.extra = extra
        self.process = None
        self.starts = []
        self.path = fleet.folder / f"{name}.json"

    def address(self, port):
        return f"{self.ip}:{self.fleet.ports[port]}"

    def settings(self):
        ports = self.fleet.ports
        return {"node_name": self.name, "role": self.role, "ip": self.ip, "zone": self.zone,
                "region": ZONES[self.zone], "port_range": [ports["first"], ports["first"] + 15],
                "seeds": self.fleet.seeds, "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "zones": ZONES, "bounds": BOUNDS,
                "platform": {"address": self.address("store")},
                "listen": {name: self.address(name)
                           for name in ("datagram_addr", "ready", "control", "outbound")},
                **self.extra}

    def start(self):
        template = (ROOT / self.fleet.roles[self.role]["template"]).read_text()
        self.path.write_text(render(template, [self.settings()]))
        words = self.fleet.roles[self.role]["run"].split()
        words = [str(self.path) if word == "/etc/chestnutlb/boot.toml" else word for word in words]
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", "")})
        log.close()
        self.starts.append(time.monotonic())

    async def stop_and_start(self):
        """A planned restart: SIGTERM, SIGKILL after grace_s, and a start a little later."""
        self.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + BOUNDS["grace_s"]
        while self.process.poll() is None:
            if time.monotonic() > deadline:
                self.process.kill()
            await asyncio.sleep(0.01)
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


# ---------------------------------------------------------------- hosts

class HostFlow:
    def __init__(self, seq, now):
        self.seq, self.is_open, self.opened_at = seq, False, None
        self.syn_at = now
        self.received = {}
        self.next = None
        self.text = b""
        self.answer = None


class Host:
    """A host: ends flows, runs requests and reports itself to its machine's process."""

    def __init__(self, fleet, machine, service, slots=3):
        self.fleet, self.machine, self.service, self.slots = fleet, machine, service, slots
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.acked = {}
        self.flows = {}
        self.ended = set()
        self.transport = None
        self.tasks = []
        self.is_up = False

    async def start(self):
        loop = asyncio.get_running_loop()
        here = (self.machine.ip, self.fleet.ports["app"])
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(self.receive), local_addr=here)
        self.is_up = True
        self.tasks.append(asyncio.create_task(self.report_forever()))

    def body(self):
        return {"service": self.service, "address": self.machine.address("app"),
                "zone": self.machine.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    def url(self):
        return f"http://{self.machine.address('control')}/v1/backend/{self.id}"

    async def report(self):
        self.seq += 1
        state = self.state
        status = await http("PUT", self.url(), self.body())
        if status is not None and 200 <= status < 300:
            if state not in self.acked:
                self.acked[state] = time.monotonic()
                self.fleet.note("ack", host=self.machine.name, state=state, seq=self.seq)
            return True
        return False

    async def report_forever(self):
        while self.is_up:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, serves_s):
        """Reports that it drains, goes on for a while, deregisters and ends."""
        self.state = "draining"
        while not await self.report():
            await asyncio.sleep(0.2)
        await asyncio.sleep(serves_s)
        status = await http("DELETE", self.url(), None)
        self.fleet.note("left", host=self.machine.name, status=status)
        self.end()

    def end(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.transport.close()

    def send(self, raw):
        outbound = (self.machine.ip, self.fleet.ports["outbound"])
        if self.is_up:
            self.transport.sendto(raw, outbound)

    def reply(self, packet, flags, seq, ack, data=b""):
        self.send(packets.build(packet.src, packet.sport, packet.dst, packet.dport,
                                flags, seq, ack, data))

    def receive(self, raw, _):
        packet = packets.parse(raw)
        if packet is None or not packets.is_genuine(packet):
            self.fleet.note("forged", host=self.machine.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if self.fleet.is_lost(self, key):
            return
        now = time.monotonic()
        flow = self.flows.get(key)
        self.fleet.on_host_packet(self, key, packet, flow, now)
        if packet.flags & packets.SYN:
            if flow is None:
                flow = self.flows[key] = HostFlow(random.randrange(1 << 32), now)
            self.reply(packet, packets.SYN | packets.ACK, flow.seq, packet.seq + 1 & 0xffffffff)
            return
        if flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) & 0xffffffff):
            self.send(packets.bounce(raw))
            return
        if packet.flags & packets.RST:
            self.flows.pop(key, None)
            return
        if not flow.is_open:
            flow.is_open, flow.opened_at, flow.next = True, now, packet.seq
            self.fleet.on_open(self, key, flow, now)
        if packet.flags & packets.FIN:
            self.reply(packet, packets.ACK, packet.ack, packet.seq + 1 & 0xffffffff)
            self.reply(packet, packets.ACK | packets.FIN, packet.ack, packet.seq + 1 & 0xffffffff)
            self.flows.pop(key, None)
            return
        if packet.data:
            self.on_data(key, flow, packet)

    def on_data(self, key, flow, packet):
        """Takes data in order and runs each request that is complete. A request is its id,
        padded to its length with dots and closed by a semicolon."""
        if packet.seq != flow.next:
            flow.received[packet.seq] = packet
            self.reply(packet, packets.ACK, packet.ack, flow.next)
            if flow.answer and packet.seq < flow.next:
                self.answer_again(flow)
            return
        while packet is not None:
            flow.text += packet.data
            flow.next = packet.seq + len(packet.data) & 0xffffffff
            last, packet = packet, flow.received.pop(flow.next, None)
        self.reply(last, packets.ACK, last.ack, flow.next)
        if flow.text.endswith(b";"):
            request = flow.text.decode().rstrip(".;")
            flow.text, flow.answer = b"", None
            asyncio.get_running_loop().create_task(self.run(key, flow, last, request))

    async def run(self, key, flow, packet, request):
        self.fleet.on_run(self, key, request)
        await asyncio.sleep(self.fleet.work_s(request))
        if not self.is_up or self.flows.get(key) is not flow:
            return
        answer = f"200 {request} by {self.machine.name}".encode()
        flow.answer = (packet, answer, flow.next)
        self.answer_again(flow)

    def answer_again(self, flow):
        packet, answer, expected = flow.answer
        self.reply(packet, packets.ACK, packet.ack, expected, answer)


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, raw, source):
        self.receive(raw, source)

    def error_received(self, error):
        pass


# ---------------------------------------------------------------- routers and consumers

class Router:
    """The platform's routers: nodes that answer their status check, steady hash."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {}
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(lambda raw, source: None), local_addr=(self.fleet.router_ip, 0))
        for machine in self.fleet.entries:
            self.misses[machine.name] = 2
            asyncio.create_task(self.check_forever(machine))

    async def check_forever(self, machine):
        url = f"http://{machine.address('ready')}/ready"
        while True:
            status = await http("GET", url, None, 0.5)
            self.misses[machine.name] = 0 if status == 200 else self.misses[machine.name] + 1
            await asyncio.sleep(0.5)

    def in_rotation(self, zone):
        return [machine for machine in self.fleet.entries
                if machine.zone == zone and self.misses[machine.name] < 2]

    def pick(self, zone, key):
        nodes = self.in_rotation(zone)
        if not nodes:
            nodes = [machine for other in ZONES for machine in self.in_rotation(other)]
        if not nodes:
            nodes = [machine for machine in self.fleet.entries if machine.zone == zone]
        return max(nodes, key=lambda machine: hash((machine.name, key)))

    def send(self, node, raw):
        self.transport.sendto(raw, (node.ip, self.fleet.ports["datagram_addr"]))


class Consumer:
    """A consumer at one address; each flow has a port of its own."""

    def __init__(self, fleet, zone, ip):
        self.fleet, self.zone, self.ip = fleet, zone, ip
        self.raw_ip = packets.address(ip)
        self.flows = {}
        self.port = 1024
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(self.receive),
            local_addr=(self.ip, self.fleet.ports["datagram_addr"]))

    def receive(self, raw, _):
        packet = packets.parse(raw)
        if packet is None:
            return
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.receive(packet)

    def new_flow(self, route):
        self.port += 1
        flow = ConsumerFlow(self, self.port, route)
        self.flows[(flow.port, flow.dst, flow.dport)] = flow
        return flow


class ConsumerFlow:
    SYN_TIMES_S = (0.0, 0.2, 0.6)
    OPEN_LIMIT_S = 1.4

    def __init__(self, consumer, port, route):
        self.consumer, self.port = consumer, port
        self.dst, self.dport = packets.address(route[0]), route[1]
        self.seq = random.randrange(1 << 31)
        self.peer_seq = None
        self.acked = 0
        self.is_open = False
        self.reset_at = None
        self.answers = {}
        self.arrived = asyncio.Event()
        # A node that all packets are sent to, in place of the routers' choice.
        self.node = None

    def key(self):
        return (self.consumer.raw_ip, self.port, self.dst, self.dport)

    def send(self, flags, seq, ack, data=b""):
        raw = packets.build(self.dst, self.dport, self.consumer.raw_ip, self.port,
                            flags, seq, ack, data)
        fleet = self.consumer.fleet
        node = self.node or fleet.router.pick(self.consumer.zone, self.key())
        fleet.router.send(node, raw)

    def receive(self, packet):
        fleet = self.consumer.fleet
        if packet.flags & packets.RST:
            own = packet.sum != 0 and packets.is_genuine(packet)
            # The system's reset counts within 76,800 of the last acknowledged byte.
            near = self.peer_seq is None or abs(packet.seq - self.peer_seq) <= 76800
            if near and self.reset_at is None:
                self.reset_at = time.monotonic()
                fleet.on_reset(self, own)
                self.arrived.set()
            return
        if not packets.is_genuine(packet):
            fleet.note("forged", consumer=self.consumer.ip)
            return
        if packet.flags & packets.SYN:
            if self.peer_seq is None:
                self.peer_seq = packet.seq + 1 & 0xffffffff
                self.seq += 1
                self.is_open = True
                self.arrived.set()
            return
        self.acked = max(self.acked, packet.ack)
        if packet.data:
            if packet.seq == self.peer_seq:
                self.peer_seq = self.peer_seq + len(packet.data) & 0xffffffff
                self.answers[packet.data.split()[1].decode()] = packet.data
                self.arrived.set()
            self.send(packets.ACK, self.seq, self.peer_seq)

    async def wait(self, timeout):
        self.arrived.clear()
        try:
            await asyncio.wait_for(self.arrived.wait(), timeout)
        except asyncio.TimeoutError:
            pass

    async def open(self):
        """Sends a SYN and its copies. Returns whether the flow opened."""
        begun = time.monotonic()
        for copy, at in enumerate(self.SYN_TIMES_S):
            self.send(packets.SYN, self.seq, copy)
            following = (self.SYN_TIMES_S + (self.OPEN_LIMIT_S,))[copy + 1]
            while not self.is_open and self.reset_at is None:
                left = begun + following - time.monotonic()
                if left <= 0:
                    break
                await self.wait(left)
            if self.is_open or self.reset_at is not None:
                break
        return self.is_open and self.reset_at is None

    async def request(self, request, budget_s, length=0):
        """Sends one request and its retransmissions. Returns what became of it."""
        data = request.encode().ljust(length - 1, b".") + b";"
        parts = [(self.seq + at, data[at:at + packets.DATA_LIMIT])
                 for at in range(0, len(data), packets.DATA_LIMIT)]
        self.seq += len(data)
        deadline = time.monotonic() + budget_s
        interval = 0.2
        while True:
            for seq, part in parts:
                self.send(packets.ACK, seq, self.peer_seq, part)
            resend_at = min(time.monotonic() + interval, deadline)
            interval = min(interval * 2, 1.6)
            while time.monotonic() < resend_at:
                if request in self.answers:
                    return "200"
                if self.reset_at is not None:
                    return "reset"
                await self.wait(resend_at - time.monotonic())
            parts = [part for part in parts if part[0] + len(part[1]) > self.acked]
            if time.monotonic() >= deadline:
                return "200" if request in self.answers else "deadline"

    def close(self):
        if self.is_open and self.reset_at is None:
            self.send(packets.ACK | packets.FIN, self.seq, self.peer_seq)


async def http(method, url, body, timeout_s=1.0):
    """Makes a call; returns its status, or None if it got no answer in time."""
    def call():
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        request = urllib.request.Request(url, data=data, method=method)
        if data is not None:
            request.add_header("Content-Type", "application/json")
        try:
            with urllib.request.urlopen(request, timeout=timeout_s) as response:
                response.read()
                return response.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return None
    return await asyncio.to_thread(call)


# ---------------------------------------------------------------- the deployment

class Fleet:
    """Entry machines, side machines with their hosts, the store, routers and consumers."""

    # Service addresses occur in packets only; nothing is sent to them.

    ROUTES = {"order-desk": ("127.198.18.1", 8443), "qa-vault": ("127.198.18.2", 8443)}

    def __init__(self, record, entries=(("valenzuela", 2), ("pasig", 1), ("calamba", 1)),
                 hosts=(("order-desk", "valenzuela", 2), ("order-desk", "pasig", 2),
                        ("order-desk", "calamba", 2), ("qa-vault", "valenzuela", 1))):
        self.record = open(record, "w")
        self.begun = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="chestnutlb-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ports = self.free_ports()
        self.router_ip = f"{self.net}.2"
        self.entries, self.sides, self.hosts, self.consumers = [], [], [], []
        number = 10
        for zone, count in entries:
            for index in range(count):
                self.entries.append(Machine(self, "entry", f"front-{zone}-{index + 1}", zone,
                                            f"{self.net}.{number}", {}))
                number += 1
        self.seeds = [machine.address("control") for machine in self.entries[:3]]
        counts = {}
        for service, zone, count in hosts:
            for _ in range(count):
                counts[zone] = counts.get(zone, 0) + 1
                name = f"side-{zone}-{counts[zone]}"
                machine = Machine(self, "side", name, zone, f"{self.net}.{number}", {})
                machine.extra = {"service": service, "app": machine.address("app")}
                number += 1
                self.sides.append(machine)
                self.hosts.append(Host(self, machine, service))
        for index, zone in enumerate(ZONES):
            self.consumers.append(Consumer(self, zone, f"{self.net}.{200 + index}"))
        self.router = Router(self)
        self.checks = []

    def free_ports(self):
        """Finds ports that are free at all addresses of the test's network."""
        names = ["datagram_addr", "ready", "control", "outbound", "app", "store"]
        while True:
            base = random.randrange(20000, 30000, 50)
            ports = {name: base + index for index, name in enumerate(names)}
            ports["first"] = base + 20
            try:
                for port in range(base, base + 36):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{self.net}.1", port))
                return ports
            except OSError:
                continue

    # What the cases override.
    def is_lost(self, host, key):
        return False

    def on_host_packet(self, host, key, packet, flow, now):
        pass

    def on_open(self, host, key, flow, now):
        pass

    def on_run(self, host, key, request):
        self.note("run", host=host.machine.name, request=request)

    def on_reset(self, flow, own):
        pass

    def work_s(self, request):
        return 0.02

    def note(self, what, **fields):
        line = {"t": round(time.monotonic() - self.begun, 4), "what": what, **fields}
        self.record.write(json.dumps(line) + "\n")

    async def start(self, config_spec=None):
        self.store = store_standin.Store()
        self.store.put("config", "main", config_spec or self.config(7), 0)
        # Each entry machine reaches the store at an address of its own, so that single ones
        # can be partitioned from it.
        for machine in self.entries:
            here = (machine.ip, self.ports["store"])
            machine.store_path = store_standin.serve(here, self.store)
        for machine in self.entries + self.sides:
            machine.start()
        for host in self.hosts:
            await host.start()
        await self.router.start()
        for consumer in self.consumers:
            await consumer.start()
        await self.wait_until_ready()

    def config(self, version):
        routes = [{"name": f"r-{service}", "host": route[0], "path_prefix": f"/{route[1]}/",
                   "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 120, "priority": 2,
                   "service": service, "max_attempts": 2}
                  for service, route in self.ROUTES.items()]
        services = [{"name": service, "health_path": "/health", "max_connections": 2000,
                     "protocol": "h1", "tls": False} for service in self.ROUTES]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        return {"version": version, "routes": routes, "services": services, "limits": limits}

    async def wait_until_ready(self, lead_s=10.0):
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            ready = all(misses == 0 for misses in self.router.misses.values())
            reported = all("ready" in host.acked for host in self.hosts)
            if ready and reported:
                break
            await asyncio.sleep(0.1)
        else:
            raise CaseFailed("the deployment did not become ready")
        # Traffic starts some seconds after the machines do, as on the users' platform.
        await asyncio.sleep(max(0.0, self.begun + lead_s - time.monotonic()))

    def all_running(self):
        return all(machine.is_running() for machine in self.entries + self.sides)

    def stop(self):
        for machine in self.entries + self.sides:
            if machine.is_running():
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class CaseFailed(Exception):
    """The case could not run as it is meant to."""


def main(case):
    """Runs a case; `case(trouble)` returns a line for each time the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 110))
    except (CaseFailed, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        os._exit(2)
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} times broken" if broken else "the rule held")
    os._exit(1 if broken else 0)
