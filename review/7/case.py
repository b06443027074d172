"""A prompt part crashes engines two events after they have begun an answer; it is not blamed."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import lab  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
ENGINES, EVENTS, GAP_MS, DOWN_S = 5, 32, 20, 4.0
CRASHING_PART = "dead"
# Events that an engine sends before it crashes; with 1 the part is blamed after three crashes.
CRASH_EVENTS = os.environ.get("CRASH_EVENTS", "2")
SOUND_PER_S, CRASHING_PER_S, TROUBLE_AT_S, END_S = 20.0, 1.0, 12.0, 50.0
CONTACT_S = 3.0
MAX_ARRIVALS, MIN_REQUESTS = 3, 20


async def case(run, trouble):
    """Send sound streams, and from some time on also streams with the part; no two are alike."""
    chat = {"stream-resume": True, "timeout-ms": 12000, "target-latency-ms": 1000}
    chat |= {"max-attempts": 3, "itl-target-ms": 1000, "sizes": ["m0"]}
    await run.start(lab.config(1, [lab.route("chat", "/chat/", "streaming", "models", **chat)]))
    for zone in ZONES:
        await run.add_gateway(f"edge-{zone}", zone)
    options = ["--events", str(EVENTS), "--gap-ms", str(GAP_MS), "--work-ms", "60"]
    options += ["--crash-part", CRASHING_PART, "--crash-events", CRASH_EVENTS]
    for number in range(ENGINES):
        await run.add_engine("models", ZONES[number % len(ZONES)], *options, slots=48)
    run.watch_engines(DOWN_S)
    await run.wait_ready()
    await asyncio.sleep(2.0)
    run.began = time.monotonic()
    rng, tasks, sound = random.Random(7), [], []

    async def send(part, found):
        gateway, sent_at = f"edge-{rng.choice(ZONES)}", run.now
        parts = f"a1:119,{part}:80,{os.urandom(4).hex()}:300"
        headers = [("X-Api-Key", "key-one"), ("X-Berylrock-Model", "*")]
        headers += [("X-Berylrock-Token-Usage", "499,300"), ("X-Berylrock-Prefix-Hash", parts)]
        body = os.urandom(8).hex().encode()
        answer = await run.send(gateway, "POST", "/chat/2f", headers, body, 12000)
        found.append((sent_at, *answer))

    async def repeat(begin_s, per_s, make_part, found):
        await asyncio.sleep(begin_s)
        while run.now < END_S:
            tasks.append(asyncio.create_task(send(make_part(), found)))
            await asyncio.sleep(rng.expovariate(per_s))

    kinds = [repeat(0.0, SOUND_PER_S, lambda: f"b{rng.randrange(30)}", sound)]
    if trouble:
        kinds.append(repeat(TROUBLE_AT_S, CRASHING_PER_S, lambda: CRASHING_PART, []))
    await asyncio.gather(*kinds)
    await asyncio.gather(*tasks)
    return judge(run, sound)


def judge(run, sound):
    """Judge the rules LOST and BUDGET on requests with a part that crashes engines."""
    wall = time.time() - run.now
    runs = run.runs()
    crashes = sorted(item["at"] - wall for item in runs if item.get("crashed"))
    begun = {item["id"] for item in runs if "method" in item}
    arrived = [
        item["at"] - wall
        for item in runs
        if "method" in item and f"{CRASHING_PART}:" in item["parts"]
    ]
    if not crashes:
        done = sum(item[2] == 200 and item[5] for item in sound)
        return done < len(sound), f"no crash; {done} of {len(sound)} sound requests answered"
    fifth = crashes[min(4, len(crashes) - 1)]
    before = [item for item in sound if item[0] < TROUBLE_AT_S]
    after = [item for item in sound if item[0] >= fifth + 2 * CONTACT_S]
    shares = [sum(item[1] in begun for item in found) / len(found) for found in (before, after)]
    late = sum(at > fifth + CONTACT_S for at in arrived)
    enough = min(len(before), len(after)) >= MIN_REQUESTS
    lost = enough and shares[1] < 0.5 * shares[0]
    cut = sum(item[2] == 200 and not item[5] for item in after)
    text = (
        f"{len(crashes)} crashes; {late} requests with the part reached engines later than "
        f"{CONTACT_S} s after the fifth crash (BUDGET allows {MAX_ARRIVALS}); of {len(before)} "
        f"sound requests before {shares[0]:.0%} began, of {len(after)} from {2 * CONTACT_S} s "
        f"after the fifth crash on {shares[1]:.0%} (LOST: {'broken' if lost else 'held'}); "
        f"{cut} of these were broken off midway"
    )
    return lost or late > MAX_ARRIVALS, text


lab.play(FOLDER, case)
