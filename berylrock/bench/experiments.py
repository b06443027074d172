"""The experiments of the bench, each on a fleet of its own, from one seed."""

import asyncio
import pathlib
import tempfile
import threading
import time
from typing import Any, NamedTuple

from berylrock.adapters import platform
from berylrock.bench import deployments, load
from berylrock.core import data, message, metrics
from berylrock.loader import document, editing
from berylrock.ops import ledger, versionhealth
from berylrock.standins import fleet, record

__all__ = [
    "POLICIES",
    "PolicyResult",
    "measure_cascade",
    "measure_control",
    "measure_exposure",
    "measure_policy",
    "measure_readers",
    "measure_zone",
]

LOAD_SECONDS = 12.0
WARM_SECONDS = 4.0
MANUAL_REACTION_SECONDS = 300.0
EXPOSURE_SECONDS = 30.0
EXPOSURE_RATE_FACTOR = 2.0
ZONE_SECONDS = 10.0
READERS = 100
CASCADE_ANSWERS = 240
CASCADE_RATE = 20.0
READER_TOKENS = 8000
IDLE_SECONDS = 10.0
ENGINE = {"token_seconds": 0.02, "first_token_seconds": 0.1, "capacity_tokens": 8000}


class PolicyChoice(NamedTuple):
    """A policy and a balancer, by the names of their plug-ins."""

    policy: str
    balancer: str


POLICIES = {
    "ours": PolicyChoice("cheapest_good_enough", "two_choices"),
    "always-best": PolicyChoice("always_best", "two_choices"),
    "round-robin": PolicyChoice("cheapest_good_enough", "round_robin"),
    "least-outstanding": PolicyChoice("cheapest_good_enough", "least_outstanding"),
}


class PolicyResult(NamedTuple):
    """What a policy showed under a load; times in milliseconds.

    Attributes:
      cost_per_million: Euro paid for a million tokens.
      quality: Share of the answers whose version meets the organisation's target.
      not_answered: Requests without a whole answer.
      first: Time to the first token at the 50th, 95th and 99th centile.
      gap_p95: Time between tokens.
      lookup: Time of a lookup at the 50th, 95th and 99th centile.
    """

    cost_per_million: float
    quality: float
    not_answered: int
    first: tuple[float, ...]
    gap_p95: float
    lookup: tuple[float, ...]


def _options(
    deployment: deployments.Deployment, root: str, choice: PolicyChoice, **engine: Any
) -> fleet.FleetOptions:
    return fleet.FleetOptions(
        f"examples/{deployment.name}.jsonc",
        pathlib.Path(root),
        deployment.engines,
        deployment.services,
        engine={**ENGINE, **engine},
        entry={"policy": choice.policy, "balancer": choice.balancer},
    )


def _read_bills(running: fleet.Fleet) -> list[message.Bill]:
    running.wait(
        lambda: all(running.status(name).get("unstored_bills") == 0 for name in running.entries()),
        "all bills to be stored",
    )
    objects = platform.HttpObjectStore(running.platform_url, metrics.Metrics("", "bench"))
    return list(asyncio.run(ledger.read_all(objects)).values())


def _run_load(
    deployment: deployments.Deployment,
    running: fleet.Fleet,
    name: str,
    seconds: float,
    seed: int,
    rate_factor: float = 1.0,
) -> load.Load:
    jobs = deployments.make_jobs(deployment, running, name, seconds, seed, rate_factor)
    sent = load.Load()
    asyncio.run(sent.run(jobs))
    return sent


def _centiles(histogram: Any) -> tuple[float, ...]:
    return tuple(load.percentile_ms(histogram, share) for share in (50, 95, 99))


def _find_cost(doc: data.Document, bills: list[message.Bill], prefix: str) -> float:
    euro = tokens = 0.0
    for bill in bills:
        version = versionhealth.find_version(doc, bill.target)
        if version is not None and bill.request_id.startswith(prefix):
            euro += bill.tokens * version.cost_per_million / 1e6
            tokens += bill.tokens
    return euro / max(1.0, tokens) * 1e6


def _find_quality(
    deployment: deployments.Deployment, doc: data.Document, answered: list[load.RequestResult]
) -> float:
    owners = {f"{deployment.name}-key-{item.name}": item for item in doc.organisations}
    good = chats = 0
    for item in answered:
        version = versionhealth.find_version(doc, item.version)
        if version is None:
            continue
        wanted = owners[item.job.key].quality
        target = wanted.get(item.job.kind, wanted[data.DEFAULT_KIND])
        chats += 1
        good += versionhealth.expected_quality(version, item.job.kind) >= target
    return good / max(1, chats)


def measure_policy(deployment: deployments.Deployment, name: str, seed: int) -> PolicyResult:
    """Measure cost at the quality target, and latency."""
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_options(deployment, root, POLICIES[name])) as running:
            _run_load(deployment, running, "warm", WARM_SECONDS, seed)
            sent = _run_load(deployment, running, "load", LOAD_SECONDS, seed)
            bills = _read_bills(running)
            doc = running.doc
    return PolicyResult(
        _find_cost(doc, bills, "load"),
        _find_quality(deployment, doc, sent.results),
        sum(item.outcome != "done" for item in sent.results),
        _centiles(sent.latencies.first),
        load.percentile_ms(sent.latencies.gap, 95),
        _centiles(sent.latencies.lookup),
    )


class CascadeResult(NamedTuple):
    """What whole answers cost and how good they truly were.

    Attributes:
      cost_per_thousand: Euro for a thousand answers, all steps counted.
      quality_margin: Mean true quality above the organisation's target.
    """

    cost_per_thousand: float
    quality_margin: float


def measure_cascade(
    deployment: deployments.Deployment, policy: str, cascade: bool, seed: int
) -> CascadeResult:
    """Measure whole answers of one organisation with a high target."""
    traffic_class = deployment.traffic_classes[0]
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_options(deployment, root, POLICIES[policy])) as running:
            if cascade:
                name = f'"name": "{traffic_class.organisation}",'
                running.put_config(running.text.replace(name, f'{name} "cascade": true,'))
                running.wait_config(running.config_version, 10.0)
            url = running.caller_url("entry-1")
            key = f"{deployment.name}-key-{traffic_class.organisation}"
            jobs = [
                load.Job(
                    index / CASCADE_RATE,
                    url,
                    key,
                    f"whole-{index}",
                    f"dossier {seed} {index}",
                    20,
                    stream=False,
                )
                for index in range(CASCADE_ANSWERS)
            ]
            asyncio.run(load.Load().run(jobs))
            bills = _read_bills(running)
            doc = running.doc
            rows = record.read(running.record)
    target = next(
        item for item in doc.organisations if item.name == traffic_class.organisation
    ).quality
    last = {row["request"]: row["quality"] for row in rows if row["event"] == "done"}
    euro = 0.0
    for bill in bills:
        version = versionhealth.find_version(doc, bill.target)
        euro += bill.tokens * version.cost_per_million / 1e6 if version else 0.0
    margin = sum(last.values()) / max(1, len(last)) - target[data.DEFAULT_KIND]
    return CascadeResult(euro / max(1, len(last)) * 1000.0, margin)


class ExposureResult(NamedTuple):
    """What a version that turned bad did.

    Attributes:
      bad_answers: Answers of the bad version from turning bad to the last.
      expected_until_manual_reaction: Answers that it would have given until a person acts.
      last_bad_answer_seconds: Time from turning bad to its last answer.
    """

    bad_answers: int
    expected_until_manual_reaction: float
    last_bad_answer_seconds: float


def measure_exposure(deployment: deployments.Deployment, seed: int) -> ExposureResult:
    """Measure a roll-out of 10 per cent whose version turns bad while serving."""
    model = deployment.rollout_model
    new = f"{model}@2"
    with tempfile.TemporaryDirectory() as root:
        options = _options(deployment, root, POLICIES["ours"])
        with fleet.Fleet(options) as running:
            rollout = data.Rollout(model, "1", "2", 10.0, 10.0, 60.0)
            doc, _ = document.load(running.text, "bench")
            assert doc is not None
            running.put_config(editing.set_rollout(running.text, doc, rollout))
            for entry in running.entries():
                _wait_progress(running, entry, new)
            _run_load(deployment, running, "warm", WARM_SECONDS, seed)
            for server in running.servers:
                if server.startswith("engine"):
                    running.set_backend_options(server, bad=[new])
            sent = _run_load(
                deployment, running, "bad", EXPOSURE_SECONDS, seed, EXPOSURE_RATE_FACTOR
            )
    answered = [item for item in sent.results if item.version.startswith(f"{model}@")]
    bad = [item for item in answered if item.bad]
    rate = len(answered) / EXPOSURE_SECONDS
    last = max((item.at + item.seconds for item in bad), default=0.0)
    return ExposureResult(len(bad), rate * 0.1 * MANUAL_REACTION_SECONDS, last)


def _wait_progress(running: fleet.Fleet, entry: str, version: str) -> None:
    running.wait(
        lambda: running.status(entry).get("progress", {}).get(version, 0) > 0, "the roll-out"
    )


class ZoneResult(NamedTuple):
    """Service while a zone leaves and returns, against steady state; times in milliseconds."""

    not_answered: int
    first_p99: float
    steady_first_p99: float
    lookup_p99: float
    steady_lookup_p99: float


def measure_zone(deployment: deployments.Deployment, seed: int) -> ZoneResult:
    """Measure service while an availability zone goes out and comes back."""
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_options(deployment, root, POLICIES["ours"])) as running:
            _run_load(deployment, running, "warm", WARM_SECONDS, seed)
            steady = _run_load(deployment, running, "steady", ZONE_SECONDS, seed)
            mover = threading.Thread(target=_move_zone, args=(deployment, running))
            mover.start()
            moved = _run_load(deployment, running, "moved", ZONE_SECONDS, seed)
            mover.join()
    return ZoneResult(
        sum(item.outcome != "done" for item in moved.results),
        _centiles(moved.latencies.first)[2],
        _centiles(steady.latencies.first)[2],
        _centiles(moved.latencies.lookup)[2],
        _centiles(steady.latencies.lookup)[2],
    )


def _move_zone(deployment: deployments.Deployment, running: fleet.Fleet) -> None:
    for in_service in (False, True):
        time.sleep(ZONE_SECONDS / 4)
        doc, _ = document.load(running.text, "bench")
        assert doc is not None
        running.put_config(editing.set_zone(running.text, doc, deployment.zone, in_service))


def measure_readers(deployment: deployments.Deployment) -> float:
    """Measure the memory that a stuck reader of a long answer costs the entry process, in bytes."""
    with tempfile.TemporaryDirectory() as root:
        options = _options(
            deployment,
            root,
            POLICIES["ours"],
            token_seconds=0.001,
            capacity_tokens=2_000_000,
            cold_answers=0,
        )
        with fleet.Fleet(options._replace(entries=1)) as running:
            return asyncio.run(_hold_readers(deployment, running))


async def _hold_readers(deployment: deployments.Deployment, running: fleet.Fleet) -> float:
    url = running.caller_url("entry-1")
    key = f"{deployment.name}-key-{deployment.traffic_classes[0].organisation}"
    warm = [load.Job(index / 50, url, key, f"warm-{index}", "warm", 1) for index in range(READERS)]
    await load.Load().run(warm)
    before = running.status("entry-1")["rss_bytes"]
    writers = [await load.open_unread_stream(url, key, READER_TOKENS) for _ in range(READERS)]
    deadline = time.monotonic() + 60.0
    while _count_paused(running) < READERS and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
    during = running.status("entry-1")["rss_bytes"]
    for writer in writers:
        writer.close()
    return (during - before) / READERS


def _count_paused(running: fleet.Fleet) -> int:
    engines = [name for name in running.servers if name.startswith("engine")]
    return sum(running.status(name)["counts"].get("paused", 0) for name in engines)


class ControlResult(NamedTuple):
    """What a process spends on control while no request runs."""

    role: str
    bytes_per_second: float
    core_share: float
    rss_megabytes: float
    store_calls_per_second: float


def measure_control(deployment: deployments.Deployment) -> list[ControlResult]:
    """Measure each role's bytes, processor time and memory while the fleet is idle."""
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_options(deployment, root, POLICIES["ours"])) as running:
            return [_measure_role(running, "entry-1"), _measure_role(running, "engine-1")]


def _measure_role(running: fleet.Fleet, name: str) -> ControlResult:
    before = running.status(name)
    began = time.monotonic()
    time.sleep(IDLE_SECONDS)
    after = running.status(name)
    seconds = time.monotonic() - began
    calls = after["counts"].get("store_calls", 0) - before["counts"].get("store_calls", 0)
    return ControlResult(
        after["role"],
        (after["link_bytes"] - before["link_bytes"]) / seconds,
        (after["cpu_seconds"] - before["cpu_seconds"]) / seconds,
        after["rss_bytes"] / 1e6,
        calls / seconds,
    )
