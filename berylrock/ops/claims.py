"""Ensures that a non-idempotent request runs at most once, by a claim in the object API.

The claim is stored by conditional create before anything is sent to a backend server. Each claim
has a unique token, so that reading it back tells whether a write whose answer was lost took effect.
"""

import asyncio
import hashlib
import time
from typing import Literal, NamedTuple

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors, eventlog, timer

__all__ = ["Claim", "ClaimResult", "ClaimStore", "claim_name", "finish_claim", "with_state"]

OBJECT_KIND = "claims"
MAX_ACQUIRE_ATTEMPTS = 3
ACQUIRE_RETRY_SECONDS = 0.2
MAX_SETTLE_WAIT_SECONDS = 0.5
SETTLE_RETRY_SECONDS = 0.5
MAX_STORED_BODY_BYTES = 262_144
RETENTION_SECONDS = 86_400.0

State = Literal["claimed", "done", "unknown", "released"]


class Claim(msgspec.Struct, frozen=True):
    """A claim as stored.

    Attributes:
      token: Unique token of the only holder that may run the request.
      state: ``claimed`` while the request may be running, ``done`` once it was answered,
        ``unknown`` if its outcome is unknown, ``released`` if it was not run.
      request_id: Id of the request that holds the claim.
      fingerprint: Digest of the request; a different request with the same key is refused.
      deadline: Unix time until which the holder's caller waits.
      expires: Unix time after which the idempotency key may be used again.
      status: HTTP status of the answer, once done.
      headers: Header lines of the answer.
      body: Body of the answer.
      truncated: Whether the body was too large to store.
    """

    token: str
    state: State
    request_id: str
    fingerprint: str
    deadline: float
    expires: float
    status: int = 0
    headers: tuple[str, ...] = ()
    body: bytes = b""
    truncated: bool = False


class ClaimResult(NamedTuple):
    """The result of an attempt to acquire a claim.

    Attributes:
      acquired: Whether this process holds the claim and may run the request.
      claim: The claim as stored.
      version: Version of the stored object.
    """

    acquired: bool
    claim: Claim
    version: int


def claim_name(organisation: str, key: str) -> str:
    """Return the name of the claim for an organisation's idempotency key."""
    return hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()


def _decode(stored: interfaces.StoredObject) -> Claim:
    return msgspec.json.decode(stored.body, type=Claim)


class ClaimStore:
    """Acquires and settles claims.

    Attributes:
      unsettled: Number of claims whose outcome is not stored in the object API yet.
    """

    def __init__(
        self, objects: interfaces.ObjectStore, clock: timer.Timer, log: eventlog.EventLog
    ) -> None:
        self._objects = objects
        self._timer = clock
        self._log = log
        self.unsettled = 0

    async def acquire(self, name: str, claim: Claim) -> ClaimResult:
        """Try to acquire a claim.

        Args:
          name: Name of the claim.
          claim: The claim to store, in state ``claimed`` and with a new token.

        Returns:
          Whether this process holds the claim, and the claim as stored.

        Raises:
          StoreUnavailable: The claim could not be confirmed, so the request must not run. It may
            have been stored nevertheless; it is then released in the background.
        """
        for attempt in range(MAX_ACQUIRE_ATTEMPTS):
            try:
                return await self._try_acquire(name, claim)
            except errors.StoreUnavailable:
                if attempt == MAX_ACQUIRE_ATTEMPTS - 1:
                    self._timer.spawn(self._settle(name, claim, with_state(claim, "released")))
                    raise
                await asyncio.sleep(ACQUIRE_RETRY_SECONDS)
        raise AssertionError("unreachable")

    async def _try_acquire(self, name: str, claim: Claim) -> ClaimResult:
        version = 0
        while True:
            try:
                body = msgspec.json.encode(claim)
                version = await self._objects.put(OBJECT_KIND, name, body, version)
                return ClaimResult(True, claim, version)
            except errors.Conflict:
                pass
            try:
                stored = await self._objects.get(OBJECT_KIND, name)
            except errors.NotFound:
                version = 0
                continue
            found = _decode(stored)
            if found.token == claim.token:
                return ClaimResult(True, found, stored.version)
            if found.state != "released" and found.expires > time.time():
                return ClaimResult(False, found, stored.version)
            version = stored.version

    async def read(self, name: str) -> Claim:
        """Read a claim; raises ``NotFound`` or ``StoreUnavailable``."""
        return _decode(await self._objects.get(OBJECT_KIND, name))

    async def settle(self, name: str, held: Claim, final: Claim) -> None:
        """Store the outcome of a claim that this process holds.

        Waits for a bounded time, then continues in the background until the outcome is stored.

        Args:
          name: Name of the claim.
          held: The claim that this process holds.
          final: The claim with its outcome.
        """
        task = self._timer.spawn(self._settle(name, held, final))
        await asyncio.wait([task], timeout=MAX_SETTLE_WAIT_SECONDS)

    async def _settle(self, name: str, held: Claim, final: Claim) -> None:
        self.unsettled += 1
        try:
            while not await self._try_settle(name, held, final):
                await asyncio.sleep(SETTLE_RETRY_SECONDS)
        finally:
            self.unsettled -= 1

    async def _try_settle(self, name: str, held: Claim, final: Claim) -> bool:
        try:
            stored = await self._objects.get(OBJECT_KIND, name)
            found = _decode(stored)
            if found.token != held.token or found.state == "done" or found == final:
                return True
            body = msgspec.json.encode(final)
            await self._objects.put(OBJECT_KIND, name, body, stored.version)
        except errors.NotFound:
            return True
        except (errors.Conflict, errors.StoreUnavailable):
            return False
        self._log.write("claim_settled", request=final.request_id, state=final.state)
        return True


def with_state(claim: Claim, state: State) -> Claim:
    """Return a copy of a claim in another state."""
    return msgspec.structs.replace(claim, state=state)


def finish_claim(claim: Claim, status: int, headers: tuple[str, ...], body: bytes) -> Claim:
    """Return the claim with the answer; omits a body that is too large to store."""
    truncated = len(body) > MAX_STORED_BODY_BYTES
    kept = b"" if truncated else body
    return msgspec.structs.replace(
        claim, state="done", status=status, headers=headers, body=kept, truncated=truncated
    )
