"""Client of the platform's service that takes the calls of duties."""

import msgspec

from berylrock.core import duties, errors
from berylrock.platform import calls, names

__all__ = ["Provider"]

OK, TOO_MANY, SERVER_ERROR = 200, 429, 500


class Provider:
    """Makes calls for duties; each names the gateway that holds the duty, and its token.

    An answer names no call, and a report that is wrongly taken for accepted is lost. The calls are
    few, so each has a connection of its own, on which nothing but its answer can come.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._client = calls.PlatformClient(address)

    async def report_usage(
        self, claim: duties.Claim, found: duties.WindowCounts, limit_s: float
    ) -> None:
        """Report the requests that began in one window, by organisation.

        Args:
          claim: Who holds the duty.
          found: The window and its counts. A repeat has to be the same.
          limit_s: Longest time for the call, in seconds.

        Raises:
          StoreUnavailable: It is not known whether the report was accepted; repeat it.
          Conflict: The platform refused the report; repeating it does not help.
        """
        body = {"window-id": found.window, "counts": found.counts}
        await self._call("/usage", claim, msgspec.json.encode(body), limit_s)

    async def _call(self, target: str, claim: duties.Claim, body: bytes, limit_s: float) -> None:
        headers = (
            (names.DUTY_HOLDER, claim.gateway.encode()),
            (names.DUTY_TOKEN, str(claim.token).encode()),
        )
        answer = await self._client.make(calls.Call("POST", target, body, headers), limit_s)
        self._client.close()
        if answer.status == OK:
            return
        text = f"{answer.status} for POST {target}"
        if answer.status == TOO_MANY or answer.status >= SERVER_ERROR:
            raise errors.StoreUnavailable(f"{text}; repeated automatically")
        raise errors.Conflict(f"{text}; check that one gateway at a time holds the duty")

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()
