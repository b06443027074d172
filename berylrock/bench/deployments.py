"""The example deployments as the bench loads them: sizes, callers and kinds of request."""

import random
from typing import NamedTuple

from berylrock.bench import load
from berylrock.standins import fleet

__all__ = ["DEPLOYMENTS", "Deployment", "TrafficClass", "make_jobs"]


class TrafficClass(NamedTuple):
    """The chat requests of one organisation and kind, and their share of all chat requests."""

    organisation: str
    kind: str
    share: float
    tokens: int


class Deployment(NamedTuple):
    """A deployment, its size and its normal load.

    Attributes:
      name: Name of the deployment and of its document in ``examples``.
      engines: Number of engines in its pool.
      services: Number of backend servers of its plain service.
      service: Name of the plain service.
      lookup: Path of a lookup, with ``{}`` for its index.
      chats_per_second: Rate of chat requests at normal load.
      lookups_per_second: Rate of lookups at normal load.
      traffic_classes: Classes of chat requests.
      rollout_model: Model whose rollout is measured.
      zone: Availability zone that is taken out of service.
    """

    name: str
    engines: int
    services: int
    service: str
    lookup: str
    chats_per_second: float
    lookups_per_second: float
    traffic_classes: tuple[TrafficClass, ...]
    rollout_model: str
    zone: str


DEPLOYMENTS = {
    "ferrante": Deployment(
        "ferrante",
        5,
        4,
        "gestionale",
        "/stock/{}",
        12.0,
        12.0,
        (
            TrafficClass("infusion", "recipe", 0.15, 80),
            TrafficClass("agents", "default", 0.35, 20),
            TrafficClass("cellar", "default", 0.25, 30),
            TrafficClass("orchard", "recipe", 0.15, 30),
            TrafficClass("export", "default", 0.10, 30),
        ),
        "garzone",
        "catania-b",
    ),
    "taurex": Deployment(
        "taurex",
        9,
        4,
        "ledger-app",
        "/bulls/{}",
        16.0,
        8.0,
        (
            TrafficClass("hire-desk", "contract", 0.15, 80),
            TrafficClass("lineage", "lineage", 0.15, 30),
            TrafficClass("vet-tags", "default", 0.30, 15),
            TrafficClass("farms-north", "default", 0.30, 25),
            TrafficClass("audit", "default", 0.10, 30),
        ),
        "scrib",
        "cluj-b",
    ),
}


def make_jobs(
    deployment: Deployment,
    running: fleet.Fleet,
    name: str,
    seconds: float,
    seed: int,
    rate_factor: float = 1.0,
) -> list[load.Job]:
    """Generate the requests of a load at random.

    Args:
      deployment: The deployment.
      running: Fleet that runs the deployment.
      name: Prefix of the request ids; must be unique among the loads of a fleet.
      seconds: Duration of the arrivals.
      seed: Seed of the random generator, combined with ``name``.
      rate_factor: Factor on the rates at normal load.

    Returns:
      The requests with their arrival times.
    """
    rng = random.Random(f"{seed}-{name}")
    urls = [running.caller_url(entry) for entry in running.entries()]
    jobs = []
    times = load.poisson_times(deployment.chats_per_second * rate_factor, seconds, rng)
    weights = [item.share for item in deployment.traffic_classes]
    for index, at in enumerate(times):
        traffic_class = rng.choices(deployment.traffic_classes, weights)[0]
        key = f"{deployment.name}-key-{traffic_class.organisation}"
        jobs.append(
            load.Job(
                at,
                rng.choice(urls),
                key,
                f"{name}-chat-{index}",
                f"dossier {name} {index}",
                traffic_class.tokens,
                kind=traffic_class.kind,
            )
        )
    key = f"{deployment.name}-key-{deployment.traffic_classes[0].organisation}"
    for index, at in enumerate(
        load.poisson_times(deployment.lookups_per_second * rate_factor, seconds, rng)
    ):
        path = f"/services/{deployment.service}{deployment.lookup.format(index)}"
        jobs.append(load.Job(at, rng.choice(urls), key, f"{name}-lookup-{index}", path=path))
    return jobs
