"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

Objects by kind and name with one revision counter, conditional writes, lists and
watches. It loses nothing, answers in a few milliseconds and never refuses a call.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ANSWER_DELAY_S = 0.004
PREFIX = "/chestnutlb/objects/"


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []

    def put(self, kind, name, spec, expected):
        """Writes a spec. `expected` is a revision, 0 for a new object, None for any."""
        with self.changed:
            current = self.objects.get((kind, name))
            found = current["meta"]["revision"] if current else 0
            if expected is not None and expected != found:
                return (409, current) if current else (404, None)
            if current and current["spec"] == spec:
                return 200, current
            self.revision += 1
            created = current["meta"]["created"] if current else self.revision
            meta = {"name": name, "revision": self.revision, "created": created,
                    "finalizers": [], "deleting": False}
            stored = {"meta": meta, "spec": spec, "status": None}
            self.objects[(kind, name)] = stored
            self.history.append((self.revision, kind, stored, False))
            self.changed.notify_all()
            return 200, stored

    def delete(self, kind, name):
        with self.changed:
            current = self.objects.pop((kind, name), None)
            if current is None:
                return 404, None
            self.revision += 1
            self.history.append((self.revision, kind, current, True))
            self.changed.notify_all()
            return 200, current

    def list(self, kind):
        with self.changed:
            names = sorted(name for found, name in self.objects if found == kind)
            items = [self.objects[(kind, name)] for name in names]
            return {"items": items, "has_more": False, "store_revision": self.revision}

    def watch(self, kind, after, wait_s):
        deadline = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [{"object": stored, "deleted": deleted}
                          for revision, found, stored, deleted in self.history
                          if found == kind and revision > after]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "store_revision": self.revision}
                self.changed.wait(left)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    store = None

    def log_message(self, *arguments):
        pass

    def reply(self, status, body):
        if self.server.is_cut:
            # What is sent behind a partition gets no answer, and its connection is lost.
            self.server.healed.wait()
            self.close_connection = True
            return
        payload = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def split(self):
        parts = urlsplit(self.path)
        if not parts.path.startswith(PREFIX):
            return None, None, {}
        words = parts.path[len(PREFIX):].split("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        return words[0], (words[1] if len(words) > 1 else None), query

    def body(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")

    def do_GET(self):
        time.sleep(ANSWER_DELAY_S)
        kind, name, query = self.split()
        if kind is None:
            return self.reply(404, {})
        if name is not None:
            found = self.store.objects.get((kind, name))
            return self.reply(200, found) if found else self.reply(404, {})
        if "watch" in query:
            wait_s = min(int(query.get("wait_ms", 0)), 30000) / 1000
            return self.reply(200, self.store.watch(kind, int(query["watch"]), wait_s))
        return self.reply(200, self.store.list(kind))

    def do_POST(self):
        time.sleep(ANSWER_DELAY_S)
        kind, _, _ = self.split()
        body = self.body()
        name = body["meta"]["name"]
        status, stored = self.store.put(kind, name, body.get("spec"), 0)
        self.reply(status, stored or {})

    def do_PUT(self):
        time.sleep(ANSWER_DELAY_S)
        kind, name, query = self.split()
        body = self.body()
        expected = body.get("meta", {}).get("revision", query.get("revision"))
        expected = None if expected is None else int(expected)
        status, stored = self.store.put(kind, name, body.get("spec"), expected)
        self.reply(status, stored or {})

    def do_DELETE(self):
        time.sleep(ANSWER_DELAY_S)
        kind, name, _ = self.split()
        status, stored = self.store.delete(kind, name)
        self.reply(status, stored or {})


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handler):
        super().__init__(address, handler)
        self.healed = threading.Event()
        self.healed.set()

    @property
    def is_cut(self):
        return not self.healed.is_set()

    def cut(self):
        """Partitions those that use this address from the store, silently."""
        self.healed.clear()

    def heal(self):
        self.healed.set()

    def handle_error(self, request, client_address):
        """A client that ends its connection is no error."""


def serve(address, store):
    """Serves the store on (ip, port) and returns the server."""
    handler = type("StoreHandler", (Handler,), {"store": store})
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
