"""Judges a soak by what callers and engines saw: each breach of a promise in words."""

from . import soakcalls, soakfaults, soakfleet

MAX_RUNS = {"read": 3, "order": 1, "chat": 3}
NOT_RUN = (408, 421, 429, 503)
CONTACT_S, DRAIN_S = 3.0, 2.0
HOLD_SLACK_S = 0.5
EVENTS = 6
UNPLANNED = ("disturbed", "store", "engine")


class Judge:
    """Compares calls with runs, beside the times at which something was disturbed."""

    def __init__(self, calls, engines, marks):
        self.breaches = []
        self._calls = {call.id: call for call in calls}
        self._marks = marks
        self._runs = {}
        for name, item in engines.items():
            for run in item.runs:
                identity = run.headers.get("x-berylrock-attempt-id", "")
                self._runs.setdefault(identity, []).append((name, run))

    def judge(self):
        """All breaches."""
        for identity, runs in self._runs.items():
            self._judge_runs(identity, runs)
        for call in self._calls.values():
            runs = self._runs.get(call.id, [])
            self._judge_answer(call, runs)
            self._judge_end(call, runs)
        self._judge_drains()
        return self.breaches

    def _note(self, promise, call_id, what):
        self.breaches.append(f"{promise}: {call_id}: {what}")

    def _judge_runs(self, identity, runs):
        call = self._calls.get(identity)
        if call is None:
            if identity != soakcalls.PROBE:
                self._note("asked", identity, "an engine ran what no caller sent")
            return
        for name, run in runs:
            body = b"" if call.kind == "read" else call.id.encode()
            sent = (soakcalls.KINDS[call.kind], call.target, body)
            if (run.method, run.target, run.body) != sent:
                self._note("unchanged", identity, f"{name} got {run.method} {run.target}")
            if "x-api-key" in run.headers or run.headers.get("x-berylrock-tenant") != "one":
                self._note("organisation", identity, f"{name} got {run.headers}")
        if len(runs) > MAX_RUNS[call.kind]:
            self._note("attempts", identity, f"{call.kind} ran {len(runs)} times")

    def _judge_answer(self, call, runs):
        if call.status in NOT_RUN and runs:
            self._note("not run", call.id, f"{call.status} but ran at {runs[0][0]}")
        for mark in self._marks:
            late = mark.what == "revoked" and mark.name == call.key
            if late and runs and call.sent_at > mark.at + soakfleet.REVOKE_MS / 1000.0:
                self._note("revoked key", call.id, f"ran {call.sent_at - mark.at:.2f} s after")
        if not call.whole or call.status != 200:
            return
        signer = call.headers.get("x-berylrock-response-signature", "").removeprefix("sig-")
        if signer not in {name for name, _ in runs}:
            self._note("signature", call.id, f"signed by {signer!r}")
        if call.kind == "chat":
            ids = [line[4:] for line in call.body.decode().splitlines() if line[:4] == "id: "]
            if ids != [str(number) for number in range(1, EVENTS + 1)]:
                self._note("order", call.id, f"events {ids}")
        elif call.body != f"{signer} {soakcalls.KINDS[call.kind]} {call.target}".encode():
            self._note("own answer", call.id, f"got {call.body!r}")

    def _disturbed(self, begin, end, gateway=None, kinds=UNPLANNED):
        """Whether anything was harmed in a span, at one gateway or at any of them."""
        for mark in self._marks:
            if mark.what in kinds and begin <= mark.at <= end:
                if gateway is None or mark.name in (gateway, ""):
                    return True
        return False

    def _judge_end(self, call, runs):
        """A caller gets an answer in time, and a planned stop cuts nothing."""
        disturbed = self._disturbed(call.sent_at - CONTACT_S, call.ended_at, call.gateway)
        if not disturbed and call.ended_at - call.sent_at > soakcalls.TIMEOUT_S + HOLD_SLACK_S:
            self._note("timeout", call.id, f"{call.kind} held {call.ended_at - call.sent_at:.2f} s")
        stops = [mark for mark in self._marks if mark.what in ("term", "started")]
        before = [m for m in stops if call.gateway == m.name and m.at <= call.ended_at]
        stopping = before and before[-1].what == "term"
        span = (call.sent_at - CONTACT_S, call.ended_at)
        calm = not self._disturbed(*span, call.gateway, ("disturbed",))
        calm = calm and not self._disturbed(*span, kinds=("engine",))
        if stopping and calm and runs and not call.whole:
            self._note("planned stop", call.id, f"{call.kind} cut with status {call.status}")

    def _judge_drains(self):
        for mark in self._marks:
            if mark.what != "drained":
                continue
            later = [m.at for m in self._marks if (m.what, m.name) == ("back", mark.name)]
            back = min([at for at in later if at > mark.at], default=float("inf"))
            for identity, runs in self._runs.items():
                for name, run in runs:
                    if name != mark.name or not mark.at + DRAIN_S < run.started_at < back:
                        continue
                    call = self._calls.get(identity)
                    gateway = call.gateway if call else None
                    span = (mark.at - CONTACT_S, run.started_at)
                    if not self._disturbed(*span, gateway, ("disturbed", "store")):
                        self._note(
                            "drain", identity, f"{name} {run.started_at - mark.at:.2f} s after"
                        )


def judge(calls, engines, faults: soakfaults.Faults):
    """All breaches of a run."""
    return Judge(calls, engines, faults.marks).judge()
