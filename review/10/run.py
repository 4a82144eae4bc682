"""Case 10: the operator moves the timeline's store away from a folder that cannot be written; the agent stands still
meanwhile, and requests get their answer too late."""
import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from bed2 import Client, now, play, request_of  # noqa: E402

CLIENTS, LATE_S = 60, 0.55
BEFORE_S, AFTER_S = 6.0, 4.0

OPERATOR = """<?xml version="1.0" encoding="UTF-8"?>
<operator version="1">
  <places>
    <zone name="a"/>
    <firm name="f"/>
    <product name="lot-page"/><product name="price-check"/><product name="place-bid"/>
    <agent name="n0" firm="f"/>
  </places>
  <timeline false-events-per-hour="0.5" memory="8" store="{store}" keep="64" age="168h"/>
</operator>
"""


async def case(bed):
    late, counts = {}, {}

    async def client():
        line = Client(bed)
        while now() < stop:
            name = bed.new_id()
            product, expiry_ms = random.choice((("lot-page", 2000), ("price-check", 1000), ("place-bid", 600)))
            deadline_ms = int(expiry_ms * random.uniform(0.42, 1))
            try:
                if line.writer is None:
                    await line.connect()
                sent = now()
                bed.record.add("sent", name, product, f"d={deadline_ms}")
                key = name if product == "place-bid" else None
                line.writer.write(request_of(bed, product, name, deadline_ms, key=key))
                kind, text = await asyncio.wait_for(line.read_reply(), 10)
                result = "served" if kind == "$" else text.decode().split()[0]
                over = now() - sent - deadline_ms / 1000
                if over > LATE_S:
                    late[name] = over
                    bed.record.add("BROKEN", "answered-too-late", name, product, f"d={deadline_ms}", f"{over:.3f}")
            except asyncio.TimeoutError:
                result = "none"
                late[name] = 10
                line.close()
            except (OSError, asyncio.IncompleteReadError):
                result = "closed"
                line.close()
            bed.record.add("answered", name, result)
            counts[result] = counts.get(result, 0) + 1
            await asyncio.sleep(random.expovariate(5))
        line.close()

    for appliance in bed.appliances:
        appliance.mean_ms = 40
    stop = now() + BEFORE_S + AFTER_S
    clients = [asyncio.ensure_future(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    if bed.trouble:
        bed.agent.operator = OPERATOR.format(store=os.path.join(bed.folder, "tmp", "store"))
        bed.agent.write_operator_file()
        bed.record.add("SIGHUP")
        bed.agent.signal(signal.SIGHUP)
    await asyncio.gather(*clients)
    return len(late), [f"requests {counts}",
                       f"answered more than {LATE_S} s after their time {len(late)}, up to {max(late.values(), default=0):.3f} s"]


def bad_store(bed):
    blocker = os.path.join(bed.folder, "not-a-folder")
    open(blocker, "w").close()
    bed.agent.operator = OPERATOR.format(store=os.path.join(blocker, "store"))


BIDS = {
    "profiles": [
        {"name": "lot-page", "repeat": "retryable", "group": "all", "window": 0, "aim": 500000, "give-up": 2000000,
         "worth": 3.0, "late-value": 0.0, "stream": False},
        {"name": "price-check", "repeat": "retryable", "group": "all", "window": 0, "aim": 300000, "give-up": 1000000,
         "worth": 1.0, "late-value": 0.0, "stream": False},
        {"name": "place-bid", "repeat": "dedup", "group": "all", "window": 400000, "aim": 250000, "give-up": 600000,
         "worth": 5.0, "late-value": 0.0, "stream": False}],
    "limits__max-attempts": 5, "limits__second-copies": True, "membership-mode": "ask"}

play(case, FOLDER, seconds=60, prepare=bad_store, **BIDS)
