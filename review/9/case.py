"""A stream crashes each engine that runs it after its third event; it is never kept back."""

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
CRASHING_BODY = "the prompt that crashes"
# Events that an engine sends before it crashes; with 1 the request is refused after three crashes.
CRASH_EVENTS = os.environ.get("CRASH_EVENTS", "3")
SOUND_PER_S, CRASHING_PER_S, TROUBLE_AT_S, END_S = 20.0, 0.5, 8.0, 45.0
CONTACT_S = 3.0
MAX_RETRIES = 3


async def case(run, trouble):
    """Send sound streams, and from some time on also one that comes again, at any gateway."""
    chat = {"stream-resume": True, "timeout-ms": 12000, "target-latency-ms": 1000}
    chat |= {"max-attempts": 3, "itl-target-ms": 1000, "sizes": ["m0"]}
    await run.start(lab.config(1, [lab.route("chat", "/chat/", "streaming", "models", **chat)]))
    for zone in ZONES:
        await run.add_gateway(f"edge-{zone}", zone)
    options = ["--events", str(EVENTS), "--gap-ms", str(GAP_MS), "--work-ms", "60"]
    options += ["--crash-body", CRASHING_BODY, "--crash-events", CRASH_EVENTS]
    for number in range(ENGINES):
        await run.add_engine("models", ZONES[number % len(ZONES)], *options, slots=48)
    run.watch_engines(DOWN_S)
    await run.wait_ready()
    await asyncio.sleep(2.0)
    run.began = time.monotonic()
    rng, tasks, sound = random.Random(7), [], []

    async def send(parts, body, found):
        gateway, sent_at = f"edge-{rng.choice(ZONES)}", run.now
        headers = [("X-Api-Key", "key-one"), ("X-Berylrock-Model", "*")]
        headers += [("X-Berylrock-Token-Usage", "499,300"), ("X-Berylrock-Prefix-Hash", parts)]
        answer = await run.send(gateway, "POST", "/chat/2f", headers, body, 12000)
        found.append((sent_at, *answer))

    def make_sound():
        own = os.urandom(4).hex()
        return f"a1:119,b{rng.randrange(30)}:80,{own}:300", own.encode()

    def make_crashing():
        return "a1:119,b7:80,0badc0de:300", CRASHING_BODY.encode()

    async def repeat(begin_s, per_s, make, found):
        await asyncio.sleep(begin_s)
        while run.now < END_S:
            tasks.append(asyncio.create_task(send(*make(), found)))
            await asyncio.sleep(rng.expovariate(per_s))

    kinds = [repeat(0.0, SOUND_PER_S, make_sound, sound)]
    if trouble:
        kinds.append(repeat(TROUBLE_AT_S, CRASHING_PER_S, make_crashing, []))
    await asyncio.gather(*kinds)
    await asyncio.gather(*tasks)
    return judge(run, sound)


def judge(run, sound):
    """Judge the rule BUDGET on a request that crashes engines."""
    wall = time.time() - run.now
    runs = run.runs()
    crashes = sorted(item["at"] - wall for item in runs if item.get("crashed"))
    arrived = [item["at"] - wall for item in runs if item.get("body") == CRASHING_BODY]
    done = sum(item[2] == 200 and item[5] for item in sound)
    text = f"{len(crashes)} crashes; {done} of {len(sound)} sound requests were answered"
    if len(crashes) < 3:
        return False, text
    late = sum(at > crashes[2] + CONTACT_S for at in arrived)
    text += (
        f"; the request reached engines {late} times later than {CONTACT_S} s after it had "
        f"crashed the third (BUDGET allows {MAX_RETRIES})"
    )
    return late > MAX_RETRIES, text


lab.play(FOLDER, case)
