"""Case 7: the operator declares a freeze that ends on 9999-12-31, with SIGHUP; from then on no request is answered."""
import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from bed2 import Client, now, play, request_of  # noqa: E402

CLIENTS, LATE_S = 8, 0.55
BEFORE_S, AFTER_S = 5.0, 10.0
EXPIRIES_MS = {"read": 2500, "post": 3000, "book": 3000}
FREEZE = '<freeze name="until-further-notice"><once from="2026-01-01 00:00" to="9999-12-31 23:59"/></freeze>'

OPERATOR = """<?xml version="1.0" encoding="UTF-8"?>
<operator version="1">
  <places>
    <zone name="a"/>
    <firm name="f"/>
    <product name="read"/><product name="post"/><product name="book"/>
    <agent name="n0" firm="f"/>
  </places>
  <releases service="servers" time-zone="Asia/Tokyo">
    <service name="servers"/>
    <ladder service="servers" from="42"><ring name="all" stage="0"><pairs/></ring></ladder>
    {freeze}
  </releases>
</operator>
"""


async def case(bed):
    lost, counts = 0, {}

    async def client():
        nonlocal lost
        line = Client(bed)
        while now() < stop:
            name, product = bed.new_id(), random.choice(list(EXPIRIES_MS))
            deadline_ms = int(EXPIRIES_MS[product] * random.uniform(0.4, 1))
            try:
                if line.writer is None:
                    await line.connect()
                bed.record.add("sent", name, product, f"d={deadline_ms}")
                key = name if product == "post" else None
                line.writer.write(request_of(bed, product, name, deadline_ms, key=key))
                kind, text = await asyncio.wait_for(line.read_reply(), deadline_ms / 1000 + LATE_S)
                result = "served" if kind == "$" else text.decode().split()[0]
            except asyncio.TimeoutError:
                result = "none"
                lost += 1
                bed.record.add("BROKEN", "no-answer-in-time", name, product, f"d={deadline_ms}")
                line.close()
            except (OSError, asyncio.IncompleteReadError):
                result = "closed"
                line.close()
            bed.record.add("answered", name, result)
            counts[result] = counts.get(result, 0) + 1
            await asyncio.sleep(random.expovariate(2.5))
        line.close()

    stop = now() + BEFORE_S + AFTER_S
    clients = [asyncio.ensure_future(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    if bed.trouble:
        bed.agent.operator = OPERATOR.format(freeze=FREEZE)
        bed.agent.write_operator_file()
        bed.record.add("SIGHUP")
        bed.agent.signal(signal.SIGHUP)
    await asyncio.gather(*clients)
    return lost, [f"requests {counts}", f"without an answer {LATE_S} s after their time: {lost}"]


def no_freeze(bed):
    bed.agent.operator = OPERATOR.format(freeze="")


play(case, FOLDER, seconds=60, prepare=no_freeze)
