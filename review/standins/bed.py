"""Stand-ins for the review's cases: discovery, platform, appliances and clients on loopback, around real agents.

They follow kit/real/PROTOCOL.md. Only the standard library of Python 3 is used. Everything runs in one asyncio loop; the
agents are processes of their own, started by `run` of deploy/balancer.toml.
"""
import asyncio
import json
import logging
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

logging.disable(logging.CRITICAL)  # Connections that end with the script are no news.

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))


class CannotRun(Exception):
    """The case cannot run on this machine; it says nothing about the agent."""


class Record:
    """What was sent, answered and run, one event a line, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class Agent:
    """One agent process."""

    def __init__(self, config, folder, name="n0", arguments=""):
        self.config = config
        self.folder = folder
        self.path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.command = run_command() + arguments
        self.process = None

    def write_config(self):
        draft = self.path + ".new"
        with open(draft, "w") as file:
            json.dump(self.config, file)
        os.replace(draft, self.path)

    def start(self):
        self.write_config()
        program = self.command.split()[1] if self.command.startswith("exec ") else self.command.split()[0]
        if not os.path.exists(os.path.join(ROOT, program)):
            raise CannotRun(f"{program} is not built")
        environment = dict(os.environ, RELAY_CONFIG=self.path, RELAY_NAME=self.config["name"],
                           RELAY_LISTEN=self.config["listen"], RELAY_DISCOVERY=self.config["discovery"],
                           TMPDIR=self.folder)
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_kib(self, field="RssAnon"):
        """Memory that no file backs, in KiB; None once the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1])
        except (FileNotFoundError, ProcessLookupError):
            pass
        return None

    async def wait_ready(self, timeout=20):
        """Waits for +PONG, as a client does."""
        host, port = self.config["listen"].split(":")
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"the agent ended with {self.process.returncode} at its start")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the agent was not ready in time")


def command(*parts):
    """Encodes a command as an array of bulk strings."""
    out = [b"*%d\r\n" % len(parts)]
    for part in parts:
        part = part if isinstance(part, bytes) else part.encode()
        out.append(b"$%d\r\n%s\r\n" % (len(part), part))
    return b"".join(out)


def accept_queue(port):
    """How many connections to a listening port the machine has accepted and the program has not taken yet."""
    with open("/proc/net/tcp") as file:
        for line in list(file)[1:]:
            fields = line.split()
            if fields[3] == "0A" and int(fields[1].split(":")[1], 16) == port:
                return int(fields[4].split(":")[1], 16)
    return 0


async def read_command(reader):
    """Reads one command; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    assert line[:1] == b"*", line[:80]
    parts = []
    for _ in range(int(line[1:])):
        size = await reader.readline()
        if not size:
            return None
        assert size[:1] == b"$", size[:80]
        data = await reader.readexactly(int(size[1:]) + 2)
        parts.append(data[:-2])
    return parts


async def read_reply(reader):
    """Reads one reply of an agent: ("served", value), ("refused", line), ("failed", line) or ("closed", "")."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return "closed", b""
        if line[:1] == b"$" and line != b"$-1\r\n":
            data = await reader.readexactly(int(line[1:]) + 2)
            return "served", data[:-2]
        if line.startswith(b"-BUSY"):
            return "refused", line.strip()
        return "failed", line.strip()
    except (ConnectionError, asyncio.IncompleteReadError):
        return "closed", b""


def pairs_of(parts):
    return dict(pair.split("=", 1) for pair in parts[3].decode().split(","))


def answer(value, report=None):
    tail = b"$-1\r\n" if report is None else b"$%d\r\n%s\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n%s" % (len(value), value, tail)


class Appliance:
    """An appliance. `serve(self, parts, writer)` answers one command; the default serves after `work` seconds."""

    def __init__(self, record, name, build=1, work=0.01, backlog=1024):
        self.record, self.name, self.build, self.work = record, name, build, work
        self.backlog = backlog
        self.connections = set()
        self.received_buffer = None

    async def start(self, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.received_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.received_buffer)
        listener.bind(("127.0.0.1", port))
        self.server = await asyncio.start_server(self.connected, sock=listener, backlog=self.backlog, limit=1 << 18)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while (parts := await read_command(reader)) is not None:
                name = parts[0].upper()
                if name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name == b"INFO":
                    writer.write(b"$10\r\nlat_ms=5.0\r\n")
                elif name in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                elif name in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    await self.serve(parts, writer)
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, parts, writer):
        request = parts[2].decode()
        self.record(f"appliance {self.name} runs {request}")
        await asyncio.sleep(self.work)
        writer.write(answer(b"v:" + parts[2]))

    def entry(self, **changes):
        return dict({"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "here", "kind": "plain", "cell": 0,
                     "state": "ready", "weight": 1.0, "started_ms": 0, "release": self.build}, **changes)


class Discovery:
    """Discovery: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, servers, version=1):
        self.servers, self.version = servers, version
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"version": self.version, "full": True, "servers": self.servers}

    async def connected(self, reader, writer):
        try:
            request = await reader.readline()
            while (await reader.readline()).strip():
                pass
            body = (json.dumps(self.whole()) + "\n").encode()
            if b"follow=1" not in request:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(body), body))
            self.watches.add(writer)
            while True:
                await writer.drain()
                await asyncio.sleep(2)
                writer.write(b"1\r\n\n\r\n")
        except ConnectionError:
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def change(self, entries):
        """Tells a change on all watches."""
        self.version += 1
        known = {entry["id"]: entry for entry in self.servers}
        for entry in entries:
            known[entry["id"]] = entry
        self.servers = [entry for entry in known.values() if entry["state"] != "gone"]
        body = (json.dumps({"version": self.version, "full": False, "servers": entries}) + "\n").encode()
        for writer in self.watches:
            writer.write(b"%x\r\n%s\r\n" % (len(body), body))


class Platform:
    """The platform: a released build, a sign of life every second, and votes that come too late."""

    def __init__(self, news):
        self.news = news

    async def start(self):
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def rollout(self):
        return (json.dumps({"jsonrpc": "2.0", "method": "ROLLOUT", "params": self.news}) + "\n").encode()

    async def connected(self, reader, writer):
        tasks = []
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "listen":
                    writer.write((json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": True}) + "\n").encode())
                    writer.write(self.rollout())
                    tasks.append(asyncio.ensure_future(self.signs(writer)))
                else:
                    error = {"code": -32000, "message": "moot"}
                    writer.write((json.dumps({"jsonrpc": "2.0", "id": call["id"], "error": error}) + "\n").encode())
        except ConnectionError:
            pass
        finally:
            for task in tasks:
                task.cancel()
            writer.close()

    async def signs(self, writer):
        while True:
            await asyncio.sleep(1)
            writer.write(b'{"jsonrpc":"2.0","method":"ping"}\n')


RELEASED = {"Revision": 1, "Wave": 0, "State": "Healthy", "MaxShare": 1.0, "AgeMs": 60000}


def settings(**changes):
    """Settings like those of kyushu-shared-desk, as WIRE shows them; one zone, one kind of machine."""
    base = {
        "me": 0, "instances": 1, "tick": 5000, "zone": 0, "zones": ["here"], "shapes": ["plain"], "weights": "rough",
        "membership-mode": "push", "tenants": [], "tier": 0, "layers": ["ticket-servers"], "family": "rollout",
        "feedback": {"names": ["lat_ms"], "how": "probe"},
        "clients": {"marks-retry": True},
        "limits": {
            "conn-idle": 30000000, "connect-timeout": 250000, "max-attempts": 3, "max-open": 26666,
            "max-retry-after": 2000000, "may-cancel": True, "peers": False, "probing": True, "retry-after": True,
            "second-copies": False, "streams-per-conn": 32, "cpu-us-per-request": 0.0, "cpu-us-per-s": 133333,
        },
        "rules": {
            "answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.34, "fall-multiple": 2.5,
            "overload-for": 1000000, "ramp-time": 4400000, "stop-sending-within": 250000,
        },
        "family-info": {
            "call-timeout": 1200000, "forward-only": False, "free": 3.0, "gate-mode": "single", "guarded-stages": 1,
            "layout": "rolling", "min-dwell": 1500000, "most-shares": [0.07, 0.28, 0.7, 1.0], "per": "all",
            "rings": [0.05, 0.2, 0.5, 1.0], "span": 4000000, "vote-ttl": 6000000, "news-period": 6000000,
            "calls-per-s": 300.0, "on-votes": 1, "votes-to-revert": 1,
        },
        "profiles": [
            {"name": "ticket-read", "repeat": "retryable", "group": "all", "window": 5000000, "aim": 600000,
             "give-up": 2500000, "worth": 1.0, "late-value": 0.0},
            {"name": "reply-post", "repeat": "dedup", "group": "all", "window": 3000000, "aim": 750000,
             "give-up": 3000000, "worth": 5.0, "late-value": 0.2},
            {"name": "visit-book", "repeat": "fragile", "group": "all", "window": 5000000, "aim": 1200000,
             "give-up": 3000000, "worth": 3.0, "late-value": 0.0},
        ],
    }
    for path, value in changes.items():
        at = base
        *parents, last = path.split("__")
        for name in parents:
            at = at[int(name)] if isinstance(at, list) else at[name]
        at[int(last) if isinstance(at, list) else last] = value
    return base


def start_file(discovery, platform, listen=None, memory_mb=192, sockets=1024, name="n0", known=None, **changes):
    return {
        "name": name, "seed": "00000000000000a7", "listen": listen or f"127.0.0.1:{free_port()}",
        "discovery": discovery.address, "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "pipeline": {"address": platform.address, "news": platform.news},
        "known": known or discovery.whole(), "settings": settings(**changes),
    }


def main(case, folder):
    """Runs `case(record, folder for temporary files, whether there is trouble)`, which returns what broke, and exits."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble={trouble}")

    def end(*_):
        raise KeyboardInterrupt  # Lets the case end its agents.

    signal.signal(signal.SIGTERM, end)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), 110))
        except CannotRun as error:
            record(f"cannot run: {error}")
            print(f"cannot run: {error}")
            raise SystemExit(2)
        except Exception as error:  # A fault of this script says nothing about the agent.
            record(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            raise SystemExit(2)
    for line in broken[:20]:
        record(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record(f"verdict: {'broken' if broken else 'held'}")
    print("broken" if broken else "held")
    raise SystemExit(1 if broken else 0)
