"""Pools what all gateways have seen of each version of a service.

Load pattern: a bad version on trial gets a few requests a second, spread over all gateways. None of
them sees enough to judge by; together they do, after a few bad answers.
"""

from typing import NamedTuple

from berylrock.ops import rollouts

__all__ = ["EvidencePool", "VersionKey", "read_counts", "read_results", "write_results"]


class VersionKey(NamedTuple):
    """A version of a service."""

    service: str
    version: str


EvidenceByVersion = dict[VersionKey, rollouts.Evidence]
Results = dict[str, tuple[int, ...]]


def write_results(found: EvidenceByVersion) -> Results:
    """The fields of the evidence by ``service version``, for a record."""
    return {f"{key.service} {key.version}": tuple(item) for key, item in found.items()}


def read_results(results: Results) -> EvidenceByVersion:
    """Read what ``write_results`` wrote."""
    keys = {name: VersionKey(*name.split(" ", 1)) for name in results if " " in name}
    return {key: read_counts(results[name]) for name, key in keys.items()}


def read_counts(counts: tuple[int, ...]) -> rollouts.Evidence:
    """Evidence from its fields; a gateway of another release may have fewer or more."""
    return rollouts.Evidence(*counts[: len(rollouts.Evidence._fields)])


class EvidencePool:
    """Results of this gateway and the last word of each other one.

    Counts only grow while a roll-out lasts, so of two reports of a gateway the larger is the later
    one, whichever way it came; a gateway that starts again does not take back what it had seen.

    Attributes:
      own: What this gateway has seen.
      vetoes: Versions that were found bad, here or elsewhere.
    """

    def __init__(self) -> None:
        self.own: EvidenceByVersion = {}
        self.vetoes: set[VersionKey] = set()
        self._others: dict[str, EvidenceByVersion] = {}

    def note(self, key: VersionKey, result: rollouts.Evidence) -> None:
        """Add results of this gateway."""
        self.own[key] = self.own.get(key, rollouts.Evidence()).plus(result)

    def record_peer(self, gateway: str, found: EvidenceByVersion) -> None:
        """Take what another gateway has seen in all."""
        known = self._others.setdefault(gateway, {})
        for key, evidence in found.items():
            if evidence.answers >= known.get(key, rollouts.Evidence()).answers:
                known[key] = evidence

    def total(self, key: VersionKey) -> rollouts.Evidence:
        """The sum over all gateways."""
        total = self.own.get(key, rollouts.Evidence())
        for found in self._others.values():
            total = total.plus(found.get(key, rollouts.Evidence()))
        return total

    def for_services(self, services: set[str]) -> EvidenceByVersion:
        """What this gateway has seen of some services' versions."""
        return {key: item for key, item in self.own.items() if key.service in services}

    def clear(self) -> None:
        """Begin anew: a new roll-out is judged by what is seen from now on."""
        self.own.clear()
        self._others.clear()
