"""The subcommand that measures the system on stand-ins and prints one line per measure."""

import argparse
import pathlib
import statistics
import tempfile
from typing import Any

from berylrock.bench import capacity, deployments, experiments, streaming

__all__ = ["add_commands"]

EXPERIMENTS = (
    "policy",
    "cascade",
    "exposure",
    "zone",
    "readers",
    "control",
    "streaming",
    "capacity",
)


def add_commands(commands: Any) -> None:
    """Add the subcommand to the parser of the command line."""
    bench = commands.add_parser(
        "bench",
        help="run measurements with stand-ins on this machine",
        description="Starts fleets of stand-ins on loopback addresses, puts load on them and "
        "prints lines 'measure: <deployment> <name> ours=<x> baseline=<y> ratio=<r>'. Run it in a "
        "checkout: it reads examples/.",
    )
    bench.add_argument("--deployment", choices=sorted(deployments.DEPLOYMENTS), action="append")
    bench.add_argument(
        "--only",
        choices=EXPERIMENTS,
        action="append",
        help="run only this experiment (may be repeated)",
    )
    bench.add_argument("--seeds", type=int, default=1, help="seeds 1 to N (default: 1)")
    bench.set_defaults(run=_bench)


def _print_measure(
    deployment: str, name: str, ours: list[float], baseline: list[float] | float
) -> None:
    """Print the medians over the seeds, and the range of ``ours`` if there are several seeds."""
    baseline_median = baseline if isinstance(baseline, float) else statistics.median(baseline)
    our_median = statistics.median(ours)
    ratio = our_median / baseline_median if baseline_median else float("nan")
    text = (
        f"measure: {deployment} {name} ours={our_median:.4g} baseline={baseline_median:.4g} "
        f"ratio={ratio:.3f}"
    )
    if len(ours) > 1:
        text += f" spread={min(ours):.4g}..{max(ours):.4g}"
    print(text, flush=True)


def _bench_policies(deployment: deployments.Deployment, seeds: list[int]) -> None:
    found = {
        name: [experiments.measure_policy(deployment, name, seed) for seed in seeds]
        for name in experiments.POLICIES
    }
    ours = found.pop("ours")
    for name, theirs in found.items():
        rows: list[tuple[str, Any]] = [
            ("cost-per-million", lambda r: r.cost_per_million),
            ("quality-share", lambda r: r.quality),
            ("not-answered", lambda r: float(r.not_answered)),
            ("first-p50-ms", lambda r: r.first[0]),
            ("first-p95-ms", lambda r: r.first[1]),
            ("first-p99-ms", lambda r: r.first[2]),
            ("gap-p95-ms", lambda r: r.gap_p95),
            ("lookup-p50-ms", lambda r: r.lookup[0]),
            ("lookup-p95-ms", lambda r: r.lookup[1]),
            ("lookup-p99-ms", lambda r: r.lookup[2]),
        ]
        for row, read in rows:
            values = [read(item) for item in ours], [read(item) for item in theirs]
            _print_measure(deployment.name, f"{row}-vs-{name}", *values)


def _bench_cascade(deployment: deployments.Deployment, seeds: list[int]) -> None:
    measure = experiments.measure_cascade
    ours = [measure(deployment, "ours", True, seed) for seed in seeds]
    for name, policy in (("single", "ours"), ("always-best", "always-best")):
        theirs = [measure(deployment, policy, False, seed) for seed in seeds]
        _print_measure(
            deployment.name,
            f"cascade-cost-per-thousand-vs-{name}",
            [item.cost_per_thousand for item in ours],
            [item.cost_per_thousand for item in theirs],
        )
        _print_measure(
            deployment.name,
            f"cascade-quality-margin-vs-{name}",
            [item.quality_margin for item in ours],
            [item.quality_margin for item in theirs],
        )


def _bench_exposure(deployment: deployments.Deployment, seeds: list[int]) -> None:
    found = [experiments.measure_exposure(deployment, seed) for seed in seeds]
    _print_measure(
        deployment.name,
        "bad-answers-vs-person",
        [float(item.bad_answers) for item in found],
        [item.expected_until_manual_reaction for item in found],
    )
    _print_measure(
        deployment.name,
        "last-bad-answer-s-vs-person",
        [item.last_bad_answer_seconds for item in found],
        experiments.MANUAL_REACTION_SECONDS,
    )


def _bench_zone(deployment: deployments.Deployment, seeds: list[int]) -> None:
    found = [experiments.measure_zone(deployment, seed) for seed in seeds]
    name = deployment.name
    _print_measure(name, "zone-not-answered", [float(item.not_answered) for item in found], 0.0)
    _print_measure(
        name,
        "zone-first-p99-ms-vs-steady",
        [item.first_p99 for item in found],
        [item.steady_first_p99 for item in found],
    )
    _print_measure(
        name,
        "zone-lookup-p99-ms-vs-steady",
        [item.lookup_p99 for item in found],
        [item.steady_lookup_p99 for item in found],
    )


def _bench_control(deployment: deployments.Deployment) -> None:
    for row in experiments.measure_control(deployment):
        name = deployment.name
        _print_measure(name, f"idle-{row.role}-bytes-s-vs-7000", [row.bytes_per_second], 7000.0)
        _print_measure(name, f"idle-{row.role}-core-vs-0.048", [row.core_share], 0.048)
        _print_measure(name, f"idle-{row.role}-rss-mb-vs-32", [row.rss_megabytes], 32.0)
        _print_measure(name, f"idle-{row.role}-store-calls-s", [row.store_calls_per_second], 0.0)


def _bench_streaming(seeds: list[int]) -> None:
    found = []
    for _ in seeds:
        with tempfile.TemporaryDirectory() as root:
            found.append(streaming.measure(pathlib.Path(root)))
    _print_measure(
        "any", "entry-us-per-token-vs-trial", [r.entry_us_per_token for r in found], 84.0
    )
    _print_measure("any", "sidecar-us-per-token", [r.sidecar_us_per_token for r in found], 0.0)
    _print_measure("any", "entry-cores-vs-1", [r.entry_cores for r in found], 1.0)
    _print_measure("any", "gap-p95-ms-vs-50", [r.gap_p95_ms for r in found], 50.0)
    _print_measure("any", "added-first-p95-ms-vs-20", [r.first_p95_ms for r in found], 20.0)
    _print_measure("any", "streams-broken", [float(r.broken) for r in found], 0.0)


def _bench_capacity() -> None:
    for slope in capacity.measure_all():
        values = ", ".join(f"{value:.4g}" for value in slope.values)
        sizes = ", ".join(str(size) for size in slope.sizes)
        print(f"slope: {slope.name}: {slope.growth:.4g} {slope.unit} each ({values} at {sizes})")


def _bench(args: argparse.Namespace) -> int:
    experiment_names = args.only or EXPERIMENTS
    seeds = list(range(1, args.seeds + 1))
    for name in args.deployment or sorted(deployments.DEPLOYMENTS):
        deployment = deployments.DEPLOYMENTS[name]
        if "policy" in experiment_names:
            _bench_policies(deployment, seeds)
        if "cascade" in experiment_names:
            _bench_cascade(deployment, seeds)
        if "exposure" in experiment_names:
            _bench_exposure(deployment, seeds)
        if "zone" in experiment_names:
            _bench_zone(deployment, seeds)
        if "readers" in experiment_names:
            bytes_each = experiments.measure_readers(deployment)
            _print_measure(name, "reader-bytes-vs-64k", [bytes_each], 65_536.0)
        if "control" in experiment_names:
            _bench_control(deployment)
    if "streaming" in experiment_names:
        _bench_streaming(seeds)
    if "capacity" in experiment_names:
        _bench_capacity()
    return 0
