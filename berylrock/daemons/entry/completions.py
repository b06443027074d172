"""Runs a chat completion request, resuming it on another backend server when one is lost."""

import asyncio
import hashlib
from collections.abc import AsyncGenerator
from typing import Any, NamedTuple

import msgspec

from berylrock.core import data, message, metrics
from berylrock.daemons.entry import attempts, context, outcome, placement, request
from berylrock.ops import eligibility, sessions

__all__ = ["CompletionRun", "Selection", "make_billing_key", "merge_chunks"]

MAX_SELECTIONS = 5


class Selection(NamedTuple):
    """The version chosen for a request.

    Attributes:
      version_id: The version.
      pool: The pool that serves it.
      token: The session token to return; empty without a session.
      changed_from: The session's previous version if it can no longer be used, else empty.
    """

    version_id: data.VersionId
    pool: str
    token: str
    changed_from: str


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


_decode_choices = msgspec.json.Decoder(list[_Choice]).decode


def make_billing_key(caller: request.Caller, fingerprint: str, step: int = 0) -> str:
    """Return the key under which one step of a request is billed once.

    Args:
      caller: The caller. Its idempotency key, or else its request id, goes into the billing key.
      fingerprint: Digest of the request's content.
      step: Index of the cascade step.

    Returns:
      32 hexadecimal digits.
    """
    name = caller.idempotency_key or caller.request_id
    text = "\0".join((caller.organisation.name, name, fingerprint, str(step)))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class CompletionRun:
    """One run of a chat completion request.

    Attributes:
      selected: The version that was chosen; it no longer changes after the first chunk.
      usage: The ``End`` frame of the answer, with its token counts and confidence.
      may_have_run: Whether any attempt may have reached an engine.
    """

    def __init__(self, ctx: context.Context, req: request.CompletionRequest, step: int = 0) -> None:
        """Prepare to run a request, or one step of its cascade.

        Args:
          ctx: The entry process's shared parts.
          req: The request.
          step: Index of the cascade step; 0 without a cascade.
        """
        self._ctx = ctx
        self._step = step
        self._req = req
        self._text = bytearray()
        self._chunk_count = 0
        self._failed_servers: set[str] = set()
        self._changed_from = ""
        self._attempt: attempts.Attempt | None = None
        self.selected: Selection | None = None
        self.usage = message.End()
        self.may_have_run = False

    @property
    def text(self) -> str:
        """The text of the answer received so far."""
        return self._text.decode()

    async def select(self) -> Selection:
        """Choose the version that answers.

        A version pinned by the session comes first as long as it may be used; otherwise the policy
        ranks the versions that the organisation may use.

        Returns:
          The version, its pool and the session token.

        Raises:
          NotRun: The organisation may use no version now.
        """
        ctx, req = self._ctx, self._req
        doc = ctx.runtime.config.doc
        assert doc is not None
        owner = _find_organisation(doc, req.caller.organisation)
        secret = ctx.cfg.secret
        session, pinned = sessions.read_token(secret, owner.name, req.session)
        stable_name = session or req.caller.request_id
        candidates = eligibility.find_candidates(
            doc, owner, req.requested_model, req.kind, stable_name, ctx.fleet.rollout_view()
        )
        if pinned is not None and eligibility.is_usable(doc, owner, pinned):
            return self._make_selection(doc, pinned, session, "pinned by its session")
        ranked = ctx.policy(candidates, eligibility.find_preferences(owner, req.kind))
        if not ranked:
            detail = f"organisation {owner.name} may use no version for {req.requested_model!r} now"
            raise outcome.NotRun(403, "no_version", f"{detail}; request another or ask operators")
        version_id = ranked[0].version_id
        why = f"{ctx.cfg.policy} among {len(candidates)} candidates"
        if pinned is not None:
            self._changed_from = str(pinned)
        elif session:
            preferred = version_id
            version_id = await ctx.sessions.pin(
                owner.name, session, preferred, lambda item: eligibility.is_usable(doc, owner, item)
            )
            why = why if version_id == preferred else "pinned by its session"
        return self._make_selection(doc, version_id, session, why)

    def _make_selection(
        self, doc: data.Document, version_id: data.VersionId, session: str, why: str
    ) -> Selection:
        self._ctx.runtime.log.write(
            "version_chosen",
            request=self._req.caller.request_id,
            target=str(version_id),
            why=why,
        )
        token = ""
        if session:
            owner = self._req.caller.organisation.name
            token = sessions.sign_token(self._ctx.cfg.secret, owner, session, version_id)
        pool = placement.find_pool(doc, version_id)
        return Selection(version_id, pool, token, self._changed_from)

    async def chunks(self, deadline: float) -> AsyncGenerator[bytes]:
        """Yield the chunks of the answer until its ``End`` frame.

        Args:
          deadline: Event-loop time until which the caller waits.

        Raises:
          NotRun: The request ran nowhere.
          Unknown: The request may have run, and its answer cannot be completed.
        """
        while True:
            placed = await self._place(deadline)
            self._attempt = placed.attempt
            frame = placed.first
            while isinstance(frame, message.Chunk):
                self.may_have_run = True
                self._record_chunk(frame.data)
                yield frame.data
                placed.attempt.acknowledge(frame)
                frame = await placed.attempt.next_frame()
            self._attempt = None
            if self._finish(frame, placed):
                return
            self._prepare_retry(frame, placed, deadline)

    async def _place(self, deadline: float) -> placement.SentAttempt:
        for _ in range(MAX_SELECTIONS):
            if self.selected is None or not self._chunk_count:
                self.selected = await self.select()
            try:
                self._check_version_usable()
                return await self._ctx.placer.place(
                    self._start(),
                    self.selected.pool,
                    deadline,
                    self._failed_servers,
                    self._req.caller.is_connected,
                )
            except placement.VersionNotUsable:
                if self._chunk_count:
                    raise self._answer_incomplete(
                        "its version was withdrawn before the answer could be resumed"
                    ) from None
            except outcome.NotRun as exc:
                if self.may_have_run:
                    raise self._answer_incomplete(exc.detail) from exc
                raise
        raise outcome.NotRun(503, "no_version", "versions are being withdrawn; try again")

    def _check_version_usable(self) -> None:
        doc = self._ctx.runtime.config.doc
        assert doc is not None and self.selected is not None
        owner = _find_organisation(doc, self._req.caller.organisation)
        if not eligibility.is_usable(doc, owner, self.selected.version_id):
            raise placement.VersionNotUsable

    def _start(self) -> message.Start:
        req = self._req
        assert self.selected is not None
        return message.Start(
            request_id=req.caller.request_id,
            organisation=req.caller.organisation.name,
            target=str(self.selected.version_id),
            body=req.body,
            tokens=req.tokens,
            priority=req.caller.priority,
            fingerprint=req.fingerprint,
            billing_key=make_billing_key(req.caller, req.fingerprint, self._step),
            resume_tokens=self._chunk_count,
            resume_text=self.text,
        )

    def _record_chunk(self, choices: bytes) -> None:
        self._chunk_count += 1
        for item in _decode_choices(choices):
            if item.delta.content:
                self._text += item.delta.content.encode()

    def _finish(self, frame: attempts.Frame, placed: placement.SentAttempt) -> bool:
        if not isinstance(frame, message.End):
            return False
        health = self._ctx.version_health.find(placed.attempt.start.target)
        if frame.outcome == message.Outcome.DONE:
            health.record_result(failed=False)
            self.usage = frame
            self._bill(
                placed.attempt.start,
                placed.server_link.sidecar_id,
                frame.prompt_tokens,
                frame.tokens,
            )
            placed.attempt.close()
            return True
        if frame.outcome == message.Outcome.ERROR:
            health.record_result(failed=True)
        placed.attempt.close()
        return False

    def _bill(self, start: message.Start, sidecar_id: str, prompt_tokens: int, tokens: int) -> None:
        bill = message.Bill(
            start.billing_key,
            start.request_id,
            start.attempt,
            start.organisation,
            start.target,
            prompt_tokens,
            tokens,
        )
        self._ctx.ledger.add(bill, sidecar_id)

    def _prepare_retry(
        self, frame: attempts.Frame, placed: placement.SentAttempt, deadline: float
    ) -> None:
        """Prepare another attempt after one that failed.

        Raises:
          Unknown: No other attempt may be made: the request crashes backend servers, its deadline
            has passed or the retry budget is spent.
        """
        self.may_have_run = True
        start = placed.attempt.start
        detail = frame.detail if isinstance(frame, message.End | attempts.AttemptLost) else ""
        kind = frame.outcome if isinstance(frame, message.End) else "lost"
        log = self._ctx.runtime.log
        log.write(
            "attempt_failed",
            request=start.request_id,
            attempt=start.attempt,
            server=placed.server_link.server.name,
            outcome=kind,
            detail=detail,
        )
        if isinstance(frame, attempts.AttemptLost):
            placed.attempt.close()
        if kind == message.Outcome.PAUSED:
            # The sidecar stopped the run because the caller did not read. The caller has since
            # taken all chunks, so the next attempt continues where this one stopped.
            self._ctx.runtime.meter.count(metrics.Metrics.RESUMES)
            return
        self._failed_servers.add(placed.server_link.server.name)
        if self._ctx.runtime.strikes.is_quarantined(start.fingerprint):
            raise self._answer_incomplete(
                "two backend servers crashed while running it; change the request"
            )
        if asyncio.get_running_loop().time() >= deadline:
            raise self._answer_incomplete("the deadline passed")
        if not self._ctx.budget.take():
            raise self._answer_incomplete(f"{detail}; the retry budget is spent, try again later")
        counter = metrics.Metrics.RESUMES if self._chunk_count else metrics.Metrics.RETRIES
        self._ctx.runtime.meter.count(counter)

    def _answer_incomplete(self, detail: str) -> outcome.Unknown:
        return outcome.Unknown(502, "answer_not_whole", detail)

    def close(self) -> None:
        """Cancel the attempt that is still running and bill the chunks received as tokens.

        Does nothing if no attempt is running.
        """
        if self._attempt is None:
            return
        if self._chunk_count:
            self._bill(self._attempt.start, "", 0, self._chunk_count)
        self._attempt.close()


def _find_organisation(doc: data.Document, organisation: data.Organisation) -> data.Organisation:
    """Return the organisation as it is in the document in force."""
    for item in doc.organisations:
        if item.name == organisation.name:
            return item
    raise outcome.NotRun(
        403, "unknown_organisation", "organisation is no longer configured; ask the operators"
    )


def merge_chunks(chunks: list[bytes]) -> tuple[dict[str, Any], ...]:
    """Merge the chunks of a streamed answer into the choices of a complete one.

    Args:
      chunks: JSON arrays of choices, each with a ``delta``.

    Returns:
      The choices in the order of their index, each with a ``message``.
    """
    joined: dict[int, dict[str, Any]] = {}
    for chunk in chunks:
        for item in msgspec.json.decode(chunk):
            index = item.get("index", 0)
            merged = joined.setdefault(
                index, {"index": index, "message": {"role": "assistant", "content": ""}}
            )
            _merge_delta(merged, item)
    return tuple(joined[index] for index in sorted(joined))


def _merge_delta(merged: dict[str, Any], item: dict[str, Any]) -> None:
    for name, value in item.get("delta", {}).items():
        if isinstance(value, str) and name != "role":
            merged["message"][name] = (merged["message"].get(name) or "") + value
        elif value is not None:
            merged["message"][name] = value
    if item.get("finish_reason"):
        merged["finish_reason"] = item["finish_reason"]
