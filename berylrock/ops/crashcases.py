"""Crashes of engines that a part of a prompt may explain, and whether they suffice to blame it."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["SAME_CRASH_S", "Case", "CrashReport", "by_part", "group_by_crash"]

# Reports of one engine within this time, from any gateway, are about the same crash.
SAME_CRASH_S = 3.0
# Crashes and different requests after which a part is blamed, if no engine has ever begun an
# answer on it. Engines that are all lost at once say nothing about what was waiting there, only a
# crash under a request that was sent after an earlier crash does: that makes a round.
MIN_CRASHES, MIN_REQUESTS, MIN_ROUNDS = 3, 2, 2
# The same if engines have begun answers on it before, as a sound part is in many requests while
# engines crash one after the other; the first numbers hold if no other part of a request is under
# suspicion in all crashes but the last one, the second ones otherwise.
MIN_CRASHES_TURNED, MIN_REQUESTS_TURNED, MIN_ROUNDS_TURNED = 5, 4, 4
MIN_CRASHES_ONCE_SOUND, MIN_REQUESTS_ONCE_SOUND, MIN_SPAN_ONCE_SOUND_S = 8, 6, 20.0
# After so many crashes and rounds, an earlier answer no longer shows that a part is sound.
MIN_CRASHES_CHANGED, MIN_ROUNDS_CHANGED = 4, 3


class CrashReport(NamedTuple):
    """One request that an engine was running, and had not begun to answer, when it crashed.

    Attributes:
      engine: The engine's id.
      request: The first digits of the request's fingerprint.
      parts: Shared parts of its prompt.
      at: Time of the crash, in seconds.
      sent_at: When the request was sent to the engine, in seconds.
    """

    engine: str
    request: str
    parts: tuple[str, ...]
    at: float
    sent_at: float


class Case:
    """The crashes that a part may explain, added in the order of their times.

    Attributes:
      part: The part's id.
      crashes: Number of crashes.
      unambiguous: Those of them that no other part of one of the requests may explain.
      requests: The requests with the part that the engines were running.
      rounds: Crashes that followed each other: in each, a request with the part was sent after the
        first crash of the round before.
      span_s: Time from the first crash to the last one, in seconds.
      place: The part's place in the prompts.
    """

    def __init__(self, part: str) -> None:
        self.part = part
        self.crashes = 0
        self.unambiguous = 0
        self.requests: set[str] = set()
        self.rounds = 0
        self.span_s = 0.0
        self.place = 0
        self._first_at = 0.0
        self._round_at = float("-inf")

    @property
    def tells_of_change(self) -> bool:
        """Whether the part may have turned bad after an answer on it."""
        return self.crashes >= MIN_CRASHES_CHANGED and self.rounds >= MIN_ROUNDS_CHANGED

    def add(self, reports: list[CrashReport], only_suspect: bool) -> None:
        """Add a crash, given the reports of it that contain the part.

        Args:
          reports: The reports, at least one.
          only_suspect: Whether no other part of one of these requests may explain the crash.
        """
        at = reports[0].at
        if not self.crashes:
            self._first_at = at
        self.crashes += 1
        self.unambiguous += only_suspect
        self.span_s = at - self._first_at
        self.requests |= {report.request for report in reports}
        self.place = max(self.place, *(report.parts.index(self.part) for report in reports), 0)
        if max(report.sent_at for report in reports) > self._round_at:
            self.rounds += 1
            self._round_at = at

    def suffices(self, once_sound: bool) -> bool:
        """Tell whether the part is blamed.

        Args:
          once_sound: Whether an engine has ever begun an answer on it.
        """
        if not once_sound:
            return (
                self.crashes >= MIN_CRASHES
                and len(self.requests) >= MIN_REQUESTS
                and self.rounds >= MIN_ROUNDS
            )
        if self.unambiguous >= MIN_CRASHES_TURNED - 1:
            return (
                self.crashes >= MIN_CRASHES_TURNED
                and len(self.requests) >= MIN_REQUESTS_TURNED
                and self.rounds >= MIN_ROUNDS_TURNED
            )
        return (
            self.crashes >= MIN_CRASHES_ONCE_SOUND
            and len(self.requests) >= MIN_REQUESTS_ONCE_SOUND
            and self.span_s >= MIN_SPAN_ONCE_SOUND_S
        )


def group_by_crash(reports: Iterable[CrashReport]) -> list[list[CrashReport]]:
    """Return the reports of each crash, in the order of their times."""
    groups: list[list[CrashReport]] = []
    latest: dict[str, list[CrashReport]] = {}
    for report in sorted(reports, key=lambda item: item.at):
        group = latest.get(report.engine)
        if group is None or report.at - group[0].at > SAME_CRASH_S:
            group = latest[report.engine] = []
            groups.append(group)
        group.append(report)
    return groups


def by_part(group: list[CrashReport]) -> dict[str, list[CrashReport]]:
    """Return the reports of one crash by the parts that they contain."""
    found: dict[str, list[CrashReport]] = {}
    for report in group:
        for part in report.parts:
            found.setdefault(part, []).append(report)
    return found
