"""Checks the fencing number of orders, and stores the highest number that a sidecar has accepted.

An order takes effect only if its number equals that of the lease as stored at the time of the
check. This stops a former holder of the lease even at engines that do not check fencing numbers,
and at servers that the new holder has not contacted yet.
"""

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors, message
from berylrock.ops import lease

__all__ = ["FenceStore"]

OBJECT_KIND = "fences"


class _Fence(msgspec.Struct):
    fence: int


class FenceStore:
    """The highest fencing number that a sidecar has accepted, in memory and in the object API.

    Attributes:
      fence: The highest number accepted; 0 if there is none.
    """

    def __init__(self, objects: interfaces.ObjectStore, server: str) -> None:
        self._objects = objects
        self._server = server
        self._version = 0
        self._loaded = False
        self.fence = 0

    async def _load(self) -> None:
        try:
            stored = await self._objects.get(OBJECT_KIND, self._server)
        except errors.NotFound:
            self._loaded = True
            return
        self._version = stored.version
        self.fence = max(self.fence, msgspec.json.decode(stored.body, type=_Fence).fence)
        self._loaded = True

    async def check(self, order: message.Order) -> str:
        """Decide whether an order may take effect.

        Args:
          order: The order.

        Returns:
          Why the order is refused; empty if it may take effect.
        """
        try:
            if not self._loaded:
                await self._load()
            if order.fence < self.fence:
                return f"fencing number {order.fence} is old: {self.fence} was accepted before"
            current = await lease.read(self._objects, lease.CONTROLLER)
            if current.fence != order.fence:
                return f"fencing number {order.fence} differs from the lease's, {current.fence}"
            if order.fence > self.fence:
                await self._store(order.fence)
        except errors.NotFound:
            return "there is no lease; acquire it before giving orders"
        except errors.Conflict:
            self._loaded = False
            return "another sidecar process changed the fencing number; give the order again"
        except errors.StoreUnavailable as exc:
            return f"the lease cannot be checked while the object API is unavailable: {exc}"
        return ""

    async def _store(self, fence: int) -> None:
        body = msgspec.json.encode(_Fence(fence))
        self._version = await self._objects.put(OBJECT_KIND, self._server, body, self._version)
        self.fence = fence
