"""A second copy right behind an answer is given to other clients as the answer to their requests."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from bed import RELEASED, Agent, Appliance, CannotRun, Discovery, Platform, answer, command, main, pairs_of, read_reply, start_file

CLIENTS = 30  # one request at a time each
DOUBLED = 0.05  # share of answers that come twice; the pages: "some answers"
LENGTH = 20
CLASSES = {"ticket-read": ("SVC.QUERY", 2500), "reply-post": ("SVC.SUBMIT", 3000), "visit-book": ("SVC.SUBMIT", 3000)}


class Doubling(Appliance):
    """A desk node that writes some answers twice: the copy directly after the answer, before it reads the next request.
    No option is set on its sockets."""

    trouble = False
    chance = random.Random(45)
    ran = {}

    async def serve(self, parts, writer):
        request, began = parts[2].decode(), time.monotonic()
        connection = writer.get_extra_info("peername")[1]
        self.ran[request] = self.ran.get(request, 0) + 1
        self.record(f"appliance {self.name}, connection {connection}: runs {request} ({pairs_of(parts)['c']})")
        await asyncio.sleep(self.work * self.chance.uniform(0.8, 1.4))
        reply = answer(b"made for " + parts[2])
        writer.write(reply)
        self.record(f"appliance {self.name}, connection {connection}: answers {request}")
        if self.trouble and self.chance.random() < DOUBLED:
            writer.write(reply)
            self.record(f"appliance {self.name}, connection {connection}: writes the answer to {request} once more")


async def case(record, folder, trouble):
    Doubling.trouble = trouble
    appliances = [await Doubling(record, f"s-{number}", work=0.1).start() for number in range(4)]
    discovery = await Discovery([appliance.entry() for appliance in appliances]).start()
    platform = await Platform(RELEASED).start()
    agent = Agent(start_file(discovery, platform), folder)
    agent.start()
    broken, counts, tasks, serials = [], {}, [], iter(range(1, 1 << 30))
    chance = random.Random(46)
    try:
        await agent.wait_ready()
        host, port = agent.config["listen"].split(":")

        async def client(number):
            connection = None
            while True:
                request, name = f"r{next(serials)}", chance.choice(list(CLASSES))
                verb, deadline = CLASSES[name]
                if connection is None:
                    connection = await asyncio.open_connection(host, int(port))
                reader, writer = connection
                record(f"client {number} sends {request} ({name})")
                writer.write(command(verb, f"firm{number}", request, f"c={name},d={deadline},k=mark-{request}", "text"))
                kind, value = await read_reply(reader)
                record(f"client {number} has {request}: {kind} {value.decode(errors='replace')}")
                counts[kind] = counts.get(kind, 0) + 1
                if kind == "closed":
                    writer.close()
                    connection = None
                if kind == "served" and value != b"made for " + request.encode():
                    broken.append(f"client {number} asked {request} ({name}) and was served {value.decode()!r}")
                await asyncio.sleep(chance.uniform(0.01, 0.1))

        tasks += [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
        end = time.monotonic() + LENGTH
        while time.monotonic() < end:
            for task in tasks:
                if task.done():
                    task.result()
            if agent.process.poll() is not None:
                broken.append(f"the agent ended with {agent.process.returncode}")
                break
            await asyncio.sleep(0.1)
        print(f"answers: {counts}; {len(broken)} of another request")
        record(f"answers: {counts}; {len(broken)} of another request")
        if counts.get("served", 0) < CLIENTS:
            raise CannotRun("the clients were not served")
        return broken
    finally:
        for task in tasks:
            task.cancel()
        agent.kill()


main(case, HERE)
