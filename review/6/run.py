"""Case 6: a fifth of the appliances is cut off for 6 s; keyed requests that were given up there and ran elsewhere run once
more when the cut is over, long after the time for which the appliances drop repeats."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from bed2 import Client, Link, answer, command, now, play, request_of  # noqa: E402

CLIENTS, BODY, WINDOW_S, SLACK_S = 48, b"b" * 50_000, 3.0, 0.05
QUIET_S, CUT_S, AFTER_S = 4.0, 6.0, 4.0


async def case(bed):
    runs, dropped, answered, counts = {}, 0, {}, {}

    def behave(appliance):
        """Drops a repeat of a key for WINDOW_S after its first attempt, at any appliance; runs everything else."""
        def on_request(request):
            nonlocal dropped
            key = request.pairs["k"]
            earlier = runs.setdefault(key, [])
            if earlier and request.at <= earlier[0][0] + WINDOW_S + SLACK_S:
                dropped += 1
                bed.record.add("dropped-repeat", request.id, key, appliance.name)
            else:
                earlier.append((request.at, appliance.name, request.id))
                bed.record.add("ran", request.id, key, appliance.name)
            after = random.expovariate(1000 / 40)
            loop.call_later(after, request.connection.reply, request, answer(b"v-" + request.id.encode()))
        return on_request

    async def client():
        line = Client(bed)
        while now() < stop:
            name, key = bed.new_id(), f"{random.getrandbits(64):016x}"
            try:
                if line.writer is None:
                    await line.connect()
                bed.record.add("sent", name, key)
                line.writer.write(request_of(bed, "post", name, 3000, key=key, body=BODY))
                kind, text = await asyncio.wait_for(line.read_reply(), 3.6)
                result = "served" if kind == "$" else text.decode().split()[0]
                answered[name] = (now(), result)
            except asyncio.TimeoutError:
                result = "none"
                line.close()
            except (OSError, asyncio.IncompleteReadError):
                result = "closed"
                line.close()
            bed.record.add("answered", name, result)
            counts[result] = counts.get(result, 0) + 1
            await asyncio.sleep(random.expovariate(4))
        line.close()

    loop = asyncio.get_running_loop()
    for appliance in bed.appliances:
        appliance.behave = behave(appliance)
    stop = now() + QUIET_S + CUT_S + AFTER_S
    clients = [asyncio.ensure_future(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    cut = bed.appliances[:len(bed.appliances) // 5]
    if bed.trouble:
        for appliance in cut:
            bed.record.add("cut", appliance.name)
            appliance.link.cut()
    await asyncio.sleep(CUT_S)
    if bed.trouble:
        for appliance in cut:
            bed.record.add("mended", appliance.name)
            appliance.link.mend()
    await asyncio.gather(*clients)
    twice = {key: list_ for key, list_ in runs.items() if len(list_) > 1}
    for key, list_ in twice.items():
        times = " ".join(f"{at - bed.record.began:.3f}@{name}" for at, name, _ in list_)
        bed.record.add("BROKEN", "ran-twice", list_[0][2], key, times, answered.get(list_[0][2], ("", "none"))[1])
    longest = max((list_[-1][0] - list_[0][0] for list_ in twice.values()), default=0)
    return len(twice), [f"keyed requests {len(runs)}, answers {counts}, repeats dropped {dropped}",
                        f"run twice {len(twice)}, the second time up to {longest:.2f} s after the first"]


def with_links(bed):
    for appliance in bed.appliances:
        appliance.link = Link(bed, appliance)


play(case, FOLDER, seconds=60, prepare=with_links)
