"""The experiments of the bench. Each starts its own fleet."""

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
WARMUP_SECONDS = 4.0
MANUAL_REACTION_SECONDS = 300.0
EXPOSURE_SECONDS = 30.0
EXPOSURE_RATE_FACTOR = 2.0
ZONE_SECONDS = 10.0
UNREAD_STREAMS = 100
CASCADE_ANSWERS = 240
CASCADE_RATE = 20.0
UNREAD_STREAM_TOKENS = 8000
IDLE_SECONDS = 10.0
ENGINE_OPTIONS = {"token_seconds": 0.02, "first_token_seconds": 0.1, "capacity_tokens": 8000}


class PolicyChoice(NamedTuple):
    """The plug-in names of a policy and a balancer."""

    policy: str
    balancer: str


POLICIES = {
    "ours": PolicyChoice("cheapest_good_enough", "two_choices"),
    "always-best": PolicyChoice("always_best", "two_choices"),
    "round-robin": PolicyChoice("cheapest_good_enough", "round_robin"),
    "least-outstanding": PolicyChoice("cheapest_good_enough", "least_outstanding"),
}


class PolicyResult(NamedTuple):
    """Cost, quality and latencies of a policy under load; times in milliseconds.

    Attributes:
      cost_per_million: Cost of a million tokens, in euro.
      quality: Share of answers whose version meets the organisation's target.
      not_answered: Number of requests without a complete answer.
      first: 50th, 95th and 99th percentile of the time to the first token.
      gap_p95: 95th percentile of the time between tokens.
      lookup: 50th, 95th and 99th percentile of the time of a lookup.
    """

    cost_per_million: float
    quality: float
    not_answered: int
    first: tuple[float, ...]
    gap_p95: float
    lookup: tuple[float, ...]


def _make_options(
    deployment: deployments.Deployment, root: str, choice: PolicyChoice, **engine: Any
) -> fleet.FleetOptions:
    return fleet.FleetOptions(
        f"examples/{deployment.name}.jsonc",
        pathlib.Path(root),
        deployment.engines,
        deployment.services,
        engine={**ENGINE_OPTIONS, **engine},
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


def _percentiles(histogram: Any) -> tuple[float, ...]:
    return tuple(load.percentile_ms(histogram, share) for share in (50, 95, 99))


def _compute_cost_per_million(doc: data.Document, bills: list[message.Bill], prefix: str) -> float:
    euro = tokens = 0.0
    for bill in bills:
        version = versionhealth.find_version(doc, bill.target)
        if version is not None and bill.request_id.startswith(prefix):
            euro += bill.tokens * version.cost_per_million / 1e6
            tokens += bill.tokens
    return euro / max(1.0, tokens) * 1e6


def _compute_quality_share(
    deployment: deployments.Deployment, doc: data.Document, answered: list[load.RequestResult]
) -> float:
    organisations = {f"{deployment.name}-key-{item.name}": item for item in doc.organisations}
    good = chats = 0
    for item in answered:
        version = versionhealth.find_version(doc, item.version)
        if version is None:
            continue
        targets = organisations[item.job.key].quality
        target = targets.get(item.job.kind, targets[data.DEFAULT_KIND])
        chats += 1
        good += versionhealth.expected_quality(version, item.job.kind) >= target
    return good / max(1, chats)


def measure_policy(deployment: deployments.Deployment, name: str, seed: int) -> PolicyResult:
    """Measure the cost, the share of answers that meet the quality target, and the latencies."""
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_make_options(deployment, root, POLICIES[name])) as running:
            _run_load(deployment, running, "warm", WARMUP_SECONDS, seed)
            sent = _run_load(deployment, running, "load", LOAD_SECONDS, seed)
            bills = _read_bills(running)
            doc = running.doc
    return PolicyResult(
        _compute_cost_per_million(doc, bills, "load"),
        _compute_quality_share(deployment, doc, sent.results),
        sum(item.outcome != "done" for item in sent.results),
        _percentiles(sent.latencies.first),
        load.percentile_ms(sent.latencies.gap, 95),
        _percentiles(sent.latencies.lookup),
    )


class CascadeResult(NamedTuple):
    """Cost and true quality of answers that are not streamed.

    Attributes:
      cost_per_thousand: Cost of a thousand answers in euro, including all steps of a cascade.
      quality_margin: Mean true quality minus the organisation's target.
    """

    cost_per_thousand: float
    quality_margin: float


def measure_cascade(
    deployment: deployments.Deployment, policy: str, cascade: bool, seed: int
) -> CascadeResult:
    """Measure answers, not streamed, for one organisation with a high quality target."""
    traffic_class = deployment.traffic_classes[0]
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_make_options(deployment, root, POLICIES[policy])) as running:
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
    """Effect of a version that turned bad.

    Attributes:
      bad_answers: Number of bad answers of the version.
      expected_until_manual_reaction: Number of bad answers to expect until an operator reacts.
      last_bad_answer_seconds: Time from turning bad to the last bad answer, in seconds.
    """

    bad_answers: int
    expected_until_manual_reaction: float
    last_bad_answer_seconds: float


def measure_exposure(deployment: deployments.Deployment, seed: int) -> ExposureResult:
    """Measure a rollout at 10 per cent whose new version turns bad while in service."""
    model = deployment.rollout_model
    new = f"{model}@2"
    with tempfile.TemporaryDirectory() as root:
        options = _make_options(deployment, root, POLICIES["ours"])
        with fleet.Fleet(options) as running:
            rollout = data.Rollout(model, "1", "2", 10.0, 10.0, 60.0)
            doc, _ = document.load(running.text, "bench")
            assert doc is not None
            running.put_config(editing.set_rollout(running.text, doc, rollout))
            for entry in running.entries():
                _wait_rollout_progress(running, entry, new)
            _run_load(deployment, running, "warm", WARMUP_SECONDS, seed)
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


def _wait_rollout_progress(running: fleet.Fleet, entry: str, version: str) -> None:
    running.wait(
        lambda: running.status(entry).get("progress", {}).get(version, 0) > 0, "the rollout"
    )


class ZoneResult(NamedTuple):
    """Latencies while a zone is taken out and put back, and in steady state; in milliseconds."""

    not_answered: int
    first_p99: float
    steady_first_p99: float
    lookup_p99: float
    steady_lookup_p99: float


def measure_zone(deployment: deployments.Deployment, seed: int) -> ZoneResult:
    """Measure latencies while an availability zone is taken out of service and put back."""
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_make_options(deployment, root, POLICIES["ours"])) as running:
            _run_load(deployment, running, "warm", WARMUP_SECONDS, seed)
            steady = _run_load(deployment, running, "steady", ZONE_SECONDS, seed)
            cycler = threading.Thread(target=_cycle_zone, args=(deployment, running))
            cycler.start()
            cycled = _run_load(deployment, running, "moved", ZONE_SECONDS, seed)
            cycler.join()
    return ZoneResult(
        sum(item.outcome != "done" for item in cycled.results),
        _percentiles(cycled.latencies.first)[2],
        _percentiles(steady.latencies.first)[2],
        _percentiles(cycled.latencies.lookup)[2],
        _percentiles(steady.latencies.lookup)[2],
    )


def _cycle_zone(deployment: deployments.Deployment, running: fleet.Fleet) -> None:
    for in_service in (False, True):
        time.sleep(ZONE_SECONDS / 4)
        doc, _ = document.load(running.text, "bench")
        assert doc is not None
        running.put_config(editing.set_zone(running.text, doc, deployment.zone, in_service))


def measure_readers(deployment: deployments.Deployment) -> float:
    """Measure the memory that each unread stream costs the entry process, in bytes.

    An unread stream is a long answer whose client does not read it.
    """
    with tempfile.TemporaryDirectory() as root:
        options = _make_options(
            deployment,
            root,
            POLICIES["ours"],
            token_seconds=0.001,
            capacity_tokens=2_000_000,
            cold_answers=0,
        )
        with fleet.Fleet(options._replace(entries=1)) as running:
            return asyncio.run(_measure_unread_streams(deployment, running))


async def _measure_unread_streams(
    deployment: deployments.Deployment, running: fleet.Fleet
) -> float:
    url = running.caller_url("entry-1")
    key = f"{deployment.name}-key-{deployment.traffic_classes[0].organisation}"
    warm = [
        load.Job(index / 50, url, key, f"warm-{index}", "warm", 1)
        for index in range(UNREAD_STREAMS)
    ]
    await load.Load().run(warm)
    before = running.status("entry-1")["rss_bytes"]
    writers = [
        await load.open_unread_stream(url, key, UNREAD_STREAM_TOKENS) for _ in range(UNREAD_STREAMS)
    ]
    deadline = time.monotonic() + 60.0
    while _count_paused(running) < UNREAD_STREAMS and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
    during = running.status("entry-1")["rss_bytes"]
    for writer in writers:
        writer.close()
    return (during - before) / UNREAD_STREAMS


def _count_paused(running: fleet.Fleet) -> int:
    engines = [name for name in running.servers if name.startswith("engine")]
    return sum(running.status(name)["counts"].get("paused", 0) for name in engines)


class ControlResult(NamedTuple):
    """Resources that an idle process uses for control traffic."""

    role: str
    bytes_per_second: float
    core_share: float
    rss_megabytes: float
    store_calls_per_second: float


def measure_control(deployment: deployments.Deployment) -> list[ControlResult]:
    """Measure network, processor, memory and store usage per role while the fleet is idle."""
    with tempfile.TemporaryDirectory() as root:
        with fleet.Fleet(_make_options(deployment, root, POLICIES["ours"])) as running:
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
