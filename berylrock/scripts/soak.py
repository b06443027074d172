"""Runs a soak test with a seed and prints its schedule of failures and each violation."""

import argparse
import pathlib
import sys
import tempfile

from berylrock.bench import deployments
from berylrock.standins import fleet, soak

__all__ = ["main"]


def main() -> None:
    """Parse the arguments and run the soak test; exits with 1 if there are violations."""
    parser = argparse.ArgumentParser(
        description="Runs a soak test that injects random failures, up to two at a time."
    )
    parser.add_argument("--deployment", default="ferrante", choices=sorted(soak.SERVICES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    args = parser.parse_args()
    deployment = deployments.DEPLOYMENTS[args.deployment]
    root = pathlib.Path(tempfile.mkdtemp(prefix="berylrock-soak-"))
    options = fleet.FleetOptions(
        f"examples/{args.deployment}.jsonc",
        root,
        deployment.engines,
        deployment.services,
        3,
        paths=True,
    )
    with fleet.Fleet(options) as running:
        result = soak.run(running, args.deployment, args.seed, args.seconds)
    print(f"soak: {args.deployment} seed {args.seed}, records in {root}")
    for line in result.schedule:
        print(f"soak: {line}")
    for violation in result.violations:
        print(f"soak: breach: {violation}")
    reconciled = result.reconciled
    print(
        f"soak: {reconciled.answered} answered, {reconciled.not_run} refused as not run, "
        f"{reconciled.unknown} unknown, {reconciled.broken} cut off, "
        f"{len(result.violations)} breaches"
    )
    sys.exit(1 if result.violations else 0)


if __name__ == "__main__":
    main()
