"""Checks a soak's results: compares what callers received with what engines ran."""

import itertools

from . import soakcalls, soakfaults, soakfleet

# Most runs of one request, by kind.
MAX_RUNS = {"read": 3, "order": 1, "chat": 3}
# Statuses which say that no engine ran the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Bounds of the gateway's settings: a process that was undisturbed for CONTACT_S has to keep all
# the others, and a draining engine may still get new requests for DRAIN_S.
CONTACT_S, DRAIN_S = 3.0, 2.0
DEADLINE_SLACK_S = 0.5
# A pause that an engine asks for holds from so long after its answer, but for a few requests.
PAUSE_SLACK_S, MAX_EARLY = 0.5, 2
# Time to live of a session, and how many of them may change their version when they must not.
SESSION_TTL_S, MAX_CHANGED = 5.0, 3
# Events of a complete stream.
EVENT_COUNT = 6
# Kinds of timeline entries that are faults, not planned changes.
UNPLANNED_KINDS = ("disturbed", "store", "engine")


class Checker:
    """Compares calls with runs, and allows for the times at which faults were in force.

    Args:
      calls: All ``soakcalls.Call`` of the run.
      engines: Stand-in engines by name.
      timeline: The ``soakfaults.TimelineEntry`` of all faults and planned changes.
      versions: When each version was ordered, in the order of the rollouts.

    Attributes:
      breaches: Descriptions of the breaches found so far.
    """

    def __init__(self, calls, engines, timeline, versions):
        self.breaches = []
        self._calls = {call.id: call for call in calls}
        self._timeline = timeline
        self._engines = engines
        self._ordered_at = [float("-inf"), *versions.values()]
        self._version_names = list(versions)
        self._runs = {}
        for name, engine in engines.items():
            for run in engine.runs:
                attempt_id = run.headers.get("x-berylrock-attempt-id", "")
                self._runs.setdefault(attempt_id, []).append((name, run))

    def find_breaches(self):
        """Run all checks and return the descriptions of all breaches."""
        for attempt_id, runs in self._runs.items():
            self._check_runs(attempt_id, runs)
        for call in self._calls.values():
            runs = self._runs.get(call.id, [])
            self._check_answer(call, runs)
            self._check_end(call, runs)
        self._check_drains()
        for name, engine in self._engines.items():
            self._check_notices(name, engine.arrivals)
        self._check_sessions()
        return self.breaches

    def _add_breach(self, promise, call_id, detail):
        self.breaches.append(f"{promise}: {call_id}: {detail}")

    def _check_runs(self, attempt_id, runs):
        call = self._calls.get(attempt_id)
        if call is None:
            if attempt_id != soakcalls.PROBE_ID:
                self._add_breach("asked", attempt_id, "an engine ran a request that no caller sent")
            return
        for name, run in runs:
            body = b"" if call.kind == "read" else call.id.encode()
            sent = (soakcalls.METHODS[call.kind], call.target, body)
            if (run.method, run.target, run.body) != sent:
                self._add_breach(
                    "unchanged", attempt_id, f"{name} received {run.method} {run.target}"
                )
            if "x-api-key" in run.headers or run.headers.get("x-berylrock-tenant") != "one":
                self._add_breach("organisation", attempt_id, f"{name} received {run.headers}")
        if len(runs) > MAX_RUNS[call.kind]:
            self._add_breach("attempts", attempt_id, f"{call.kind} ran {len(runs)} times")

    def _check_answer(self, call, runs):
        if call.status in NOT_RUN_STATUSES and runs:
            self._add_breach("not run", call.id, f"answered {call.status} but ran at {runs[0][0]}")
        for entry in self._timeline:
            was_revoked = entry.kind == "revoked" and entry.name == call.key
            if was_revoked and runs and call.sent_at > entry.at + soakfleet.REVOKE_MS / 1000.0:
                self._add_breach(
                    "revoked key",
                    call.id,
                    f"ran {call.sent_at - entry.at:.2f} s after the key was withdrawn",
                )
        if not call.whole or call.status != 200:
            return
        signer = call.headers.get("x-berylrock-response-signature", "").removeprefix("sig-")
        if signer not in {name for name, _ in runs}:
            self._add_breach("signature", call.id, f"signed by {signer!r}")
        if call.kind == "chat":
            ids = [line[4:] for line in call.body.decode().splitlines() if line[:4] == "id: "]
            if ids != [str(number) for number in range(1, EVENT_COUNT + 1)]:
                self._add_breach("order", call.id, f"events {ids}")
        elif call.body != f"{signer} {soakcalls.METHODS[call.kind]} {call.target}".encode():
            self._add_breach("own answer", call.id, f"received {call.body!r}")

    def _disturbed(self, begin, end, gateway=None, kinds=UNPLANNED_KINDS):
        """Return whether the timeline has an entry of some kinds in a span of time.

        Args:
          begin: First time of the span, on the monotonic clock.
          end: Last time of the span.
          gateway: Name of a gateway, to count only its entries and those without a name; None to
            count all entries.
          kinds: Kinds of timeline entries to count.
        """
        for entry in self._timeline:
            if entry.kind in kinds and begin <= entry.at <= end:
                if gateway is None or entry.name in (gateway, ""):
                    return True
        return False

    def _check_end(self, call, runs):
        """Check that a call ended in time, and that no planned stop cut its response off."""
        disturbed = self._disturbed(call.sent_at - CONTACT_S, call.ended_at, call.gateway)
        if not disturbed and call.ended_at - call.sent_at > soakcalls.DEADLINE_S + DEADLINE_SLACK_S:
            self._add_breach(
                "timeout", call.id, f"{call.kind} took {call.ended_at - call.sent_at:.2f} s"
            )
        stop_entries = [entry for entry in self._timeline if entry.kind in ("term", "started")]
        earlier = [
            item for item in stop_entries if call.gateway == item.name and item.at <= call.ended_at
        ]
        stopping = earlier and earlier[-1].kind == "term"
        span = (call.sent_at - CONTACT_S, call.ended_at)
        undisturbed = not self._disturbed(*span, call.gateway, ("disturbed",))
        undisturbed = undisturbed and not self._disturbed(*span, kinds=("engine",))
        if stopping and undisturbed and runs and not call.whole:
            self._add_breach(
                "planned stop", call.id, f"{call.kind} cut off with status {call.status}"
            )

    def _check_drains(self):
        """Check that no draining engine ran a new request after the time allowed for it."""
        for entry in self._timeline:
            if entry.kind != "drained":
                continue
            return_times = [
                item.at for item in self._timeline if (item.kind, item.name) == ("back", entry.name)
            ]
            returned_at = min([at for at in return_times if at > entry.at], default=float("inf"))
            for attempt_id, runs in self._runs.items():
                for name, run in runs:
                    if name != entry.name or not entry.at + DRAIN_S < run.started_at < returned_at:
                        continue
                    call = self._calls.get(attempt_id)
                    gateway = call.gateway if call else None
                    span = (entry.at - CONTACT_S, run.started_at)
                    if not self._disturbed(*span, gateway, ("disturbed", "store")):
                        self._add_breach(
                            "drain",
                            attempt_id,
                            f"{name} ran it {run.started_at - entry.at:.2f} s after draining began",
                        )

    def _check_sessions(self):
        """Check that sessions move late in a rollout and never back, as all versions are good."""
        chats = sorted(
            (call for call in self._calls.values() if call.session and call.status == 200),
            key=lambda call: (call.session, call.sent_at),
        )
        changed = [
            later
            for _, group in itertools.groupby(chats, key=lambda call: call.session)
            for earlier, later in itertools.pairwise(group)
            if self._changes_wrongly(earlier, later)
        ]
        if len(changed) > MAX_CHANGED:
            ids = ", ".join(call.id for call in changed)
            self._add_breach("session", changed[0].id, f"another version than before: {ids}")

    def _changes_wrongly(self, earlier, later):
        """Tell whether a chat runs on a version on which its session must not be yet, or again."""
        if not earlier.ended_at < later.sent_at < earlier.ended_at + SESSION_TTL_S:
            return False
        before, after = self._version_of(earlier), self._version_of(later)
        half_s = soakfaults.ROLLOUT_S / 2.0
        early = after > before and later.ended_at < self._ordered_at[after] + half_s
        if not early and after >= before:
            return False
        return not self._disturbed(earlier.sent_at - CONTACT_S, later.ended_at)

    def _version_of(self, call):
        """Return the number of the version that has answered a call, 0 for the first one."""
        signer = call.headers.get("x-berylrock-response-signature", "").removeprefix("sig-")
        version = signer.removeprefix("models-")
        return 1 + self._version_names.index(version) if version in self._version_names else 0

    def _check_notices(self, name, arrivals):
        """Check that each gateway heeds what an engine has said to it."""
        by_gateway = {}
        for item in arrivals:
            call = self._calls.get(item.attempt_id)
            if call is not None and call.status:
                by_gateway.setdefault(call.gateway, []).append(item)
        for gateway, items in by_gateway.items():
            for index, notice in enumerate(items):
                self._check_pause(name, gateway, notice, items[index + 1 :])
                self._check_leaving(name, gateway, notice, items[index + 1 :])

    def _excuses(self, notice, later, gateway):
        """Tell whether the gateway may not have got the notice, or was started again since."""
        span = (notice.at - CONTACT_S, later.at)
        return self._disturbed(*span, gateway, (*UNPLANNED_KINDS, "started"))

    def _check_pause(self, name, gateway, notice, later):
        early = [
            item for item in later if notice.at + PAUSE_SLACK_S < item.at < notice.paused_until
        ]
        if len(early) <= MAX_EARLY or self._excuses(notice, early[-1], gateway):
            return
        self._add_breach("pause", early[-1].attempt_id, f"{name} got {len(early)} in its pause")

    def _check_leaving(self, name, gateway, notice, later):
        if not notice.leaving or not self._calls[notice.attempt_id].whole:
            return
        late = []
        for item in later:
            if not item.leaving:
                # The engine has started again.
                break
            if item.at > notice.at + DRAIN_S:
                late.append(item)
        if late and not self._excuses(notice, late[0], gateway):
            self._add_breach("leaving", late[0].attempt_id, f"{name} got it from {gateway}")


def find_breaches(calls, engines, faults: soakfaults.Faults):
    """Return the descriptions of all breaches in a run.

    Args:
      calls: All ``soakcalls.Call`` of the run.
      engines: Stand-in engines by name.
      faults: The faults that were injected.
    """
    return Checker(calls, engines, faults.timeline, faults.versions).find_breaches()
