"""Decides on which version of a service a session runs, so that all gateways decide the same.

Load pattern: a session's requests come to another gateway nearly every time, seconds apart, while a
rollout is ordered, goes through its stages and ends; gateways learn of all of that at different
times, and some are restarted.

What a version depends on, by the stage of the rollout:

- Before the first stage the gateways collect: every session runs on the old version.
- In the first stage a session runs on the new version if the stage's share covers its position and
  it is not held. Held are the covered sessions that were active when the order came or that ran on
  the old version since (``heldsessions``). A session that begins later is in no set, so that every
  gateway sends it to the new version.
- In the later stages, sessions may move, and their position alone decides.

The position is a hash of the session, so a gateway needs no memory for the sessions that the first
stage's share does not cover, and none at all after that stage.
"""

from collections.abc import Iterable

from berylrock.core import routing
from berylrock.ops import activesessions, heldsessions, positions, rollouts, versionchoice

__all__ = ["SessionPlacement", "is_open_to_holding"]


def is_open_to_holding(rollout: routing.Rollout) -> bool:
    """Tell whether sessions may still be held back from a rollout."""
    return rollout.state == "new" or (rollout.state == "running" and rollout.stage == 0)


class SessionPlacement:
    """What one gateway knows of the sessions, and the versions that it chooses for them.

    Attributes:
      active: The active sessions that this gateway knows of.
      held: The sessions that stay on the old version in the first stage.
    """

    def __init__(self) -> None:
        self.active = activesessions.ActiveSessions()
        self.held = heldsessions.HeldSessions()
        self._followed: set[heldsessions.RolloutKey] = set()

    def follow(self, found: Iterable[routing.Rollout], now: float, ttl_s: float) -> None:
        """Hold the covered active sessions when a rollout is first seen; drop what has passed.

        Args:
          found: The rollouts of all services.
          now: Time in seconds.
          ttl_s: Time after its last request for which a session is active, in seconds.
        """
        keys = {
            heldsessions.RolloutKey(item.service, item.target)
            for item in found
            if is_open_to_holding(item)
        }
        for key in keys - self._followed:
            for session, use in self.active.list(now, ttl_s):
                if session.service == key.service and use.version != key.target:
                    self._hold_if_covered(key, session, now)
        self._followed = keys
        self.held.retain(keys, now)

    def knows_held(self) -> bool:
        """Tell whether any other gateway has the same held sessions, for each open rollout."""
        return all(self.held.is_equal_at_any(key) for key in self._followed)

    def choose(
        self, plan: rollouts.Plan, session: activesessions.Session, now: float
    ) -> versionchoice.VersionChoice:
        """Choose the version for a session's next request."""
        service, digest = session
        hold = None
        if plan.trial is not None and plan.stage <= 0:
            hold = self.held.find(heldsessions.RolloutKey(service, plan.trial), digest)
        choice = versionchoice.choose_for_session(plan, service, digest, hold is not None)
        if hold is None or choice.source != versionchoice.HELD:
            return choice
        source = versionchoice.TOLD if hold.told else versionchoice.HELD
        return choice._replace(source=source, age_s=now - hold.since)

    def begin(
        self, plan: rollouts.Plan, session: activesessions.Session, version: str, now: float
    ) -> None:
        """Record that a session's request is sent to an engine of a version.

        One that runs on the old version until the first stage ends keeps its session there, also if
        its version was chosen before this gateway knew of the rollout.
        """
        self.active.begin(session, version, now)
        if plan.trial is not None and plan.stage <= 0 and version != plan.trial:
            key = heldsessions.RolloutKey(session.service, plan.trial)
            self._hold_if_covered(key, session, now)

    def _hold_if_covered(
        self, key: heldsessions.RolloutKey, session: activesessions.Session, now: float
    ) -> None:
        position = positions.find_position(key.service, key.target, session.digest.hex())
        if position < rollouts.STAGE_SHARES[0]:
            self.held.hold(key, session.digest, now)
