"""Stand-ins of the second review: an agent started by the deploy file's `run`, before clients, appliances, discovery and
the platform, on loopback addresses and the real clock. Python's standard library alone.

The stand-ins do what the users' protocol page says and nothing else unless a case asks for a disruption by name.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import warnings

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
OK, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the agent."""


def now():
    return time.monotonic()


def settings(**changes):
    """Settings like those of a small deployment: three classes, a rolling release, a list that is pushed."""
    base = {
        "clients": {"marks-retry": True}, "family": "rollout",
        "family-info": {
            "behind-price": 0.35, "blast-price": 3.0, "call-timeout": 1200000, "calls-per-s": 300.0,
            "forward-only": False, "free": 3.0, "gate-mode": "single", "guarded-stages": 1, "layout": "rolling",
            "metrics-period": 0, "min-dwell": 1500000, "most-shares": [0.07, 0.28, 0.7, 1.0], "moves-after": 0,
            "news-period": 6000000, "on-votes": 1, "per": "all", "reported-share": 0.0,
            "rings": [0.05, 0.2, 0.5, 1.0], "span": 4000000, "tally-sample": 0.0, "to-pause": 0,
            "vote-ttl": 6000000, "votes-to-revert": 1, "warm-keys": False},
        "feedback": {"how": "probe", "names": ["lat_ms"]},
        "instances": 3, "layers": ["servers"],
        "limits": {
            "conn-idle": 30000000, "connect-timeout": 250000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 133333,
            "max-attempts": 3, "max-open": 26666, "max-retry-after": 2000000, "may-cancel": True, "peers": True,
            "probing": True, "retry-after": True, "second-copies": False, "streams-per-conn": 32},
        "me": 0, "membership-mode": "push",
        "profiles": [
            {"name": "read", "repeat": "retryable", "group": "all", "window": 5000000, "aim": 600000,
             "give-up": 2500000, "worth": 1.0, "late-value": 0.0, "stream": False},
            {"name": "post", "repeat": "dedup", "group": "all", "window": 3000000, "aim": 750000,
             "give-up": 3000000, "worth": 5.0, "late-value": 0.2, "stream": False},
            {"name": "book", "repeat": "fragile", "group": "all", "window": 5000000, "aim": 1200000,
             "give-up": 3000000, "worth": 3.0, "late-value": 0.0, "stream": False}],
        "rules": {
            "answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.34, "fall-multiple": 2.5,
            "overload-for": 1000000, "ramp-time": 4400000, "stop-sending-within": 250000},
        "shapes": ["m"], "tenants": [], "tick": 5000, "tier": 0, "zone": 0, "zones": ["a"],
    }
    for path, value in changes.items():
        place = base
        *parents, last = path.split("__")
        for name in parents:
            place = place[int(name) if isinstance(place, list) else name]
        place[last.replace("_", "-") if last.replace("_", "-") in place else last] = value
    return base


def bulk(text):
    text = text if isinstance(text, bytes) else str(text).encode()
    return b"$%d\r\n%s\r\n" % (len(text), text)


def command(*parts):
    return b"*%d\r\n" % len(parts) + b"".join(map(bulk, parts))


def answer(value, report=None):
    return b"*3\r\n" + bulk(value) + b"$-1\r\n" + (b"$-1\r\n" if report is None else bulk(report))


def parse(buffer, at=0):
    """Parses one RESP value of `buffer` from `at`. Returns (value, end), or None if it is not complete."""
    end = buffer.find(b"\r\n", at)
    if end < 0:
        return None
    kind, rest, at = buffer[at:at + 1], bytes(buffer[at + 1:end]), end + 2
    if kind in b"+-:":
        return (kind.decode(), rest), at
    length = int(rest)
    if length < 0:
        return (kind.decode(), None), at
    if kind == b"$":
        if len(buffer) < at + length + 2:
            return None
        return ("$", bytes(buffer[at:at + length])), at + length + 2
    items = []
    for _ in range(length):
        item = parse(buffer, at)
        if item is None:
            return None
        items.append(item[0])
        at = item[1]
    return ("*", items), at


def waiting_bytes(transport):
    """The bytes that this machine has received on a connection and its program has not read yet."""
    with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as copy:
        try:
            return copy.recv(1 << 20, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            return b""


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self, path):
        self.path, self.lines, self.began = path, [], now()

    def add(self, kind, *fields):
        self.lines.append((now(), kind, fields))

    def write(self, *summary):
        with open(self.path, "w", encoding="utf-8") as out:
            for line in summary:
                out.write(f"# {line}\n")
            for at, kind, fields in self.lines:
                out.write(f"{at - self.began:9.4f} {kind} {' '.join(map(str, fields))}\n")


class Request:
    """A command that an appliance got."""
    __slots__ = ("at", "verb", "key", "id", "pairs", "body", "connection", "slot")

    def __init__(self, parts, connection):
        self.at = now()
        self.verb, self.key, self.id = parts[0], parts[1], parts[2].decode()
        self.pairs = dict(pair.split("=", 1) for pair in parts[3].decode().split(","))
        self.body = parts[4] if len(parts) > 4 else b""
        self.connection, self.slot = connection, None


class ApplianceConnection(asyncio.Protocol):
    def __init__(self, appliance):
        self.appliance, self.buffer, self.replies, self.is_open = appliance, bytearray(), [], True
        self.whole_since = None

    def connection_made(self, transport):
        self.transport = transport
        self.appliance.connections.add(self)
        if self.appliance.is_paused:
            transport.pause_reading()
        self.appliance.on_connection(self)

    def connection_lost(self, error):
        self.is_open = False
        self.appliance.connections.discard(self)
        self.appliance.on_lost(self)

    def data_received(self, data):
        self.buffer += data
        if not self.appliance.is_paused:
            self.read()

    def read(self):
        at = 0
        while True:
            found = parse(self.buffer, at)
            if found is None:
                break
            (_, items), at = found
            self.handle([item[1] for item in items])
        del self.buffer[:at]

    def handle(self, parts):
        verb = parts[0].upper()
        if verb in (b"SVC.QUERY", b"SVC.SUBMIT"):
            request = Request(parts, self)
            if self.whole_since is not None:
                request.at, self.whole_since = self.whole_since, None
            request.slot = [None]
            self.replies.append(request.slot)
            self.appliance.on_request(request)
        elif verb in (b"SELECT", b"CLIENT"):
            self.replies.append([b"+OK\r\n"])
        elif verb == b"PING":
            self.replies.append([b"+PONG\r\n"])
        elif verb == b"INFO":
            self.replies.append([bulk(f"lat_ms={self.appliance.mean_ms:.1f}")])
        else:
            self.replies.append([b"-ERR unknown\r\n"])
        self.flush()

    def reply(self, request, data):
        request.slot[0] = data
        self.flush()

    def flush(self):
        while self.replies and self.replies[0][0] is not None and self.is_open and not self.appliance.is_paused:
            data = self.replies.pop(0)[0]
            if data:
                self.transport.write(data)


class Appliance:
    """A server that takes requests. `behave` is called with each request and has to reply in the end."""

    def __init__(self, bed, number, build=41):
        self.bed, self.number, self.build = bed, number, build
        self.name = f"s-{number:08x}"
        self.connections, self.is_paused, self.mean_ms = set(), False, 20.0
        self.state, self.started_ms, self.link, self.receive_buffer = "ready", 0, None, None
        self.behave = self.serve
        self.on_connection = self.on_lost = lambda connection: None

    async def start(self):
        listener = socket.socket()
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind((HOST, 0))
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ApplianceConnection(self), sock=listener, backlog=512)

    def on_request(self, request):
        self.bed.on_attempt(self, request)
        self.behave(request)

    def value_for(self, request):
        return f"v-{request.id}".encode()

    def serve(self, request, after=None):
        after = random.expovariate(1000 / self.mean_ms) if after is None else after
        asyncio.get_running_loop().call_later(after, self.finish, request)

    def finish(self, request):
        self.bed.record.add("ran", request.id, self.name)
        request.connection.reply(request, answer(self.value_for(request)))

    def pause(self, is_paused):
        """Stands still: takes no bytes from its machine, and sends none. A request that had come to the machine whole
        while it stood still counts as begun when that began."""
        self.is_paused = is_paused
        for connection in list(self.connections):
            if is_paused:
                self.paused_since = now()
                connection.transport.pause_reading()
            else:
                if parse(connection.buffer + waiting_bytes(connection.transport)):
                    connection.whole_since = self.paused_since
                connection.transport.resume_reading()
                connection.read()
                connection.flush()

    def entry(self):
        return {"id": self.name, "addr": f"{HOST}:{(self.link or self).port}", "zone": "a", "kind": "m", "cell": self.number // 4,
                "state": self.state, "weight": 1.0, "started_ms": self.started_ms, "release": self.build}


class Link:
    """The network between the agent and one appliance: passes bytes on both ways while it is not cut.

    While it is cut it takes no bytes from either side: they stay with their sender, whose machine sends them again once
    the cut is over. Connections that are made during the cut are reset at its end, and so is one on which the link itself
    holds the rest of a request.
    """

    RECEIVE_BUFFER = 16384

    def __init__(self, bed, appliance):
        self.bed, self.appliance, self.is_cut, self.pairs = bed, appliance, False, set()

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER)
        listener.bind((HOST, 0))
        self.port = listener.getsockname()[1]
        self.server = await asyncio.get_running_loop().create_server(lambda: LinkEnd(self), sock=listener, backlog=512)

    def cut(self):
        self.is_cut = True
        for end in self.pairs:
            end.hold(True)

    def mend(self):
        self.is_cut = False
        for end in list(self.pairs):
            end.hold(False)


class LinkEnd(asyncio.Protocol):
    """One end of a connection that passes a link. The end at the agent opens the other one."""

    def __init__(self, link, other=None):
        self.link, self.other, self.waiting, self.transport = link, other, [], None
        self.is_late, self.is_at_agent, self.partial = link.is_cut, other is None, bytearray()

    def connection_made(self, transport):
        self.transport = transport
        self.link.pairs.add(self)
        if self.link.is_cut:
            transport.pause_reading()
        elif self.other is None:
            asyncio.ensure_future(self.open())

    async def open(self):
        other = LinkEnd(self.link, self)
        try:
            await asyncio.get_running_loop().create_connection(lambda: other, HOST, self.link.appliance.port)
        except OSError:
            self.transport.abort()
            return
        self.other = other
        for data in self.waiting:
            other.transport.write(data)

    def data_received(self, data):
        if self.is_at_agent:
            self.partial += data
            while found := parse(self.partial):
                del self.partial[:found[1]]
        if self.other and self.other.transport:
            self.other.transport.write(data)
        else:
            self.waiting.append(data)

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.link.pairs.discard(self)
        if self.other and self.other.transport:
            (self.other.transport.abort if error else self.other.transport.close)()

    def hold(self, is_held):
        is_whole = not is_held and self.is_at_agent and parse(self.partial + waiting_bytes(self.transport))
        if self.is_late or is_whole:
            self.transport.abort()
        elif is_held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()


class Discovery:
    """Answers GET /catalog/members, and watches on it."""

    def __init__(self, bed):
        self.bed, self.version, self.watches, self.is_silent = bed, 41, set(), False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def message(self, entries, full):
        return {"version": self.version, "full": full, "servers": entries}

    def whole(self):
        return self.message([a.entry() for a in self.bed.appliances if a.state != "gone"], True)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ", 2)[1].decode()
            if "follow=1" not in path:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.chunk(writer, json.dumps(self.whole()).encode() + b"\n")
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2)
                if not self.is_silent:
                    self.chunk(writer, b"\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def chunk(self, writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def tell(self, *appliances):
        self.version += 1
        line = json.dumps(self.message([a.entry() for a in appliances], False)).encode() + b"\n"
        for writer in list(self.watches):
            self.chunk(writer, line)


class Platform:
    """Tells the state of the newest build, and takes votes."""

    def __init__(self, bed):
        self.bed = bed
        self.state = {"Revision": 41, "Wave": 3, "State": "Healthy", "MaxShare": 1.0}
        self.since, self.listeners = now() - 60, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def news(self):
        return dict(self.state, AgeMs=int((now() - self.since) * 1000))

    def line(self, **fields):
        return json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n"

    async def serve(self, reader, writer):
        pings = None
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "listen":
                    writer.write(self.line(id=call["id"], result=True))
                    writer.write(self.line(method="ROLLOUT", params=self.news()))
                    self.listeners.add(writer)
                    pings = asyncio.ensure_future(self.ping(writer))
                else:
                    writer.write(self.line(id=call["id"], result=self.news()))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if pings:
                pings.cancel()
            self.listeners.discard(writer)
            writer.close()

    async def ping(self, writer):
        while True:
            await asyncio.sleep(1)
            writer.write(self.line(method="ping"))


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Agent:
    """One agent, started as the deploy file says, with a start file of its own."""

    def __init__(self, bed, memory_mb=192, sockets=1024, **changes):
        self.bed, self.memory_mb, self.sockets = bed, memory_mb, sockets
        self.settings = settings(**changes)
        self.port, self.peer_port = free_port(), free_port()
        self.process = self.known = self.operator = None

    def config(self):
        peer = f"{HOST}:{self.peer_port}"
        known = self.known or self.bed.discovery.whole()
        return {
            "name": "n0", "seed": f"{random.getrandbits(64):016x}", "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.bed.discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "peer_listen": peer, "peers": [peer], "peers_all": peer,
            "pipeline": {"address": f"{HOST}:{self.bed.platform.port}", "news": self.bed.platform.news()},
            "known": known, "settings": self.settings}

    def write_config(self):
        path = os.path.join(self.bed.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(self.config(), out)
        os.replace(path + ".new", path)
        return path

    def write_operator_file(self):
        """Replaces the operator's file by the text `operator`."""
        path = os.path.join(self.bed.folder, "operator.xml")
        with open(path + ".new", "w", encoding="utf-8") as out:
            out.write(self.operator)
        os.replace(path + ".new", path)

    async def start(self):
        """Starts the agent and waits until it answers PING; tries other ports if one of its own was taken meanwhile."""
        for _ in range(3):
            if await self.start_once():
                return
            self.port, self.peer_port = free_port(), free_port()
        raise CannotRun(f"the agent ended with {self.process.returncode}")

    async def start_once(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
            run = tomllib.load(deploy)["run"]
        path = self.write_config()
        temporary = os.path.join(self.bed.folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {"RELAY_CONFIG": path, "RELAY_NAME": "n0", "RELAY_LISTEN": f"{HOST}:{self.port}",
                       "RELAY_DISCOVERY": f"{HOST}:{self.bed.discovery.port}", "TMPDIR": temporary,
                       "PATH": os.environ.get("PATH", "")}
        if self.operator:
            self.write_operator_file()
            environment["LILACGATE_OPERATOR"] = os.path.join(self.bed.folder, "operator.xml")
        self.log = open(os.path.join(self.bed.folder, "agent.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        deadline = now() + 10
        while now() < deadline:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the agent was not ready within 10 s")

    def has_crashed(self):
        return self.process.poll() is not None

    def memory(self):
        """KiB of memory that no file backs, now."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            return sum(int(line.split()[1]) for line in status if line.startswith(("RssAnon", "RssShmem")))

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def hold_up(self, seconds):
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    def end(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


class Bed:
    """Everything around the agent."""

    def __init__(self, folder_of_case, appliances=12, **agent):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="lilacgate-review-")
        self.discovery, self.platform = Discovery(self), Platform(self)
        self.appliances = [Appliance(self, number) for number in range(appliances)]
        self.agent = Agent(self, **agent)
        self.attempts = {}
        self.next_id = random.getrandbits(40) << 20
        self.attempt_listener = None

    async def start(self):
        links = [appliance.link for appliance in self.appliances if appliance.link]
        for part in (*self.appliances, *links, self.discovery, self.platform):
            await part.start()
        await self.agent.start()

    def new_id(self):
        self.next_id += 1
        return f"{self.next_id & (1 << 64) - 1:016x}"

    def on_attempt(self, appliance, request):
        self.attempts.setdefault(request.id, []).append((request.at, appliance, request))
        self.record.add("attempt", request.id, appliance.name, *(f"{k}={v}" for k, v in request.pairs.items()))

    def end(self):
        self.agent.end()
        if os.environ.get("KEEP_LOG"):
            shutil.copy(os.path.join(self.folder, "agent.log"), os.environ["KEEP_LOG"])
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One connection of a usual client, which has one request out at a time and opens a new one when it is closed."""

    def __init__(self, bed):
        self.bed, self.reader, self.writer = bed, None, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.bed.agent.port)

    def close(self, reset=False):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def read_reply(self):
        line = await self.reader.readuntil(b"\r\n")
        if line[:1] == b"$" and int(line[1:]) >= 0:
            return ("$", (await self.reader.readexactly(int(line[1:]) + 2))[:-2])
        return (line[:1].decode(), line[1:-2])


def request_of(bed, name, id, deadline_ms, key=None, body=b"", extra=""):
    pairs = f"c={name},d={deadline_ms}" + (f",k={key}" if key else "") + extra
    verb = "SVC.QUERY" if name in ("read", "lot-page", "price-check") else "SVC.SUBMIT"
    parts = [verb, f"{random.getrandbits(64):016x}", id, pairs] + ([body] if body else [])
    return command(*parts)


def play(case, folder, seconds=115, prepare=None, **bed_options):
    """Runs `case(bed)`, which returns (number of breaks, summary lines); ends the process with the case's exit code."""
    # Whoever ends the script early still has its processes ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    bed = Bed(folder, **bed_options)
    if prepare:
        prepare(bed)

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await bed.start()
        breaks, lines = await asyncio.wait_for(case(bed), seconds)
        if bed.agent.has_crashed():
            raise CannotRun(f"the agent ended with {bed.agent.process.returncode}")
        return breaks, lines

    # Streams that are still open at the end are closed after their loop, which Python reports as an unraisable error.
    sys.unraisablehook = lambda report: None
    warnings.simplefilter("ignore")
    code, lines = NOT_RUN, []
    try:
        breaks, lines = asyncio.run(run())
        code = BROKEN if breaks else OK
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        lines = [f"could not run: {error!r}"]
    finally:
        bed.end()
    bed.record.write(*lines)
    print("\n".join(lines))
    sys.exit(code)
