"""Makes a request that may not be repeated run at most once, by a claim in the object API.

The claim is stored by conditional create before anything leaves for a backend server, with a token
of its own, so that a lost answer of the object API is settled by reading back.
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
SETTLE_TRIES = 3
SETTLE_PAUSE_SECONDS = 0.2
STORE_PATIENCE_SECONDS = 0.5
BACKGROUND_PAUSE_SECONDS = 0.5
MAX_STORED_BODY_BYTES = 262_144
RETENTION_SECONDS = 86_400.0

State = Literal["claimed", "done", "unknown", "released"]


class Claim(msgspec.Struct, frozen=True):
    """A claim as stored.

    Attributes:
      token: Names the one holder that may run the request.
      state: Whether it may be running, is done, has an unknown outcome, or was not run.
      request_id: Id of the request that holds it.
      fingerprint: Digest of the request; another request with the same key is refused.
      deadline: Unix time until which the holder's caller waits.
      expires: Unix time after which the key may be used anew.
      status: HTTP status of the answer, once done.
      headers: Header lines of the answer.
      body: The answer's body.
      truncated: Whether the body was too large to keep.
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
    """The result of trying to take a claim.

    Attributes:
      acquired: Whether this process may run the request.
      claim: The claim as stored.
      version: Version of its object.
    """

    acquired: bool
    claim: Claim
    version: int


def claim_name(organisation: str, key: str) -> str:
    """Name the claim of an organisation's idempotency key."""
    return hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()


def _decode(stored: interfaces.StoredObject) -> Claim:
    return msgspec.json.decode(stored.body, type=Claim)


class ClaimStore:
    """Takes, finishes and releases claims.

    Attributes:
      unsettled: Claims whose last change still has to reach the object API.
    """

    def __init__(
        self, objects: interfaces.ObjectStore, clock: timer.Timer, log: eventlog.EventLog
    ) -> None:
        self._objects = objects
        self._timer = clock
        self._log = log
        self.unsettled = 0

    async def acquire(self, name: str, claim: Claim) -> ClaimResult:
        """Try to take a claim.

        Args:
          name: Its name.
          claim: The claim to store, in state ``claimed`` with a new token.

        Returns:
          Whether it is ours, and what is stored.

        Raises:
          StoreUnavailable: Nothing may run. The claim may have been stored all the same; it is
            then released in the background.
        """
        for attempt in range(SETTLE_TRIES):
            try:
                return await self._try_take(name, claim)
            except errors.StoreUnavailable:
                if attempt == SETTLE_TRIES - 1:
                    self._timer.spawn(self._settle(name, claim, with_state(claim, "released")))
                    raise
                await asyncio.sleep(SETTLE_PAUSE_SECONDS)
        raise AssertionError("unreachable")

    async def _try_take(self, name: str, claim: Claim) -> ClaimResult:
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

        Waits a moment, then goes on in the background until it is stored.
        """
        task = self._timer.spawn(self._settle(name, held, final))
        await asyncio.wait([task], timeout=STORE_PATIENCE_SECONDS)

    async def _settle(self, name: str, held: Claim, final: Claim) -> None:
        self.unsettled += 1
        try:
            while not await self._try_settle(name, held, final):
                await asyncio.sleep(BACKGROUND_PAUSE_SECONDS)
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
    """The same claim in another state."""
    return msgspec.structs.replace(claim, state=state)


def finish_claim(claim: Claim, status: int, headers: tuple[str, ...], body: bytes) -> Claim:
    """The claim with the answer of its run, without the body if that is too large to keep."""
    truncated = len(body) > MAX_STORED_BODY_BYTES
    kept = b"" if truncated else body
    return msgspec.structs.replace(
        claim, state="done", status=status, headers=headers, body=kept, truncated=truncated
    )
