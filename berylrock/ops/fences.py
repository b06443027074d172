"""Keeps the highest fencing number that a backend server's sidecar has seen.

An order takes effect only if its number is that of the lease as stored at this moment. So an old
holder is stopped also at engines that ignore old numbers, and at servers that the new holder has
not yet spoken to.
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
    """The highest number, in memory and in the object API.

    Attributes:
      fence: The highest number seen.
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
          An empty text if it may, or why not.
        """
        try:
            if not self._loaded:
                await self._load()
            if order.fence < self.fence:
                return f"fencing number {order.fence} is old, {self.fence} was seen"
            current = await lease.read(self._objects, lease.CONTROLLER)
            if current.fence != order.fence:
                return f"fencing number {order.fence} is not that of the lease, {current.fence}"
            if order.fence > self.fence:
                await self._store(order.fence)
        except errors.NotFound:
            return "there is no lease; take it first"
        except errors.Conflict:
            self._loaded = False
            return "fencing number was changed by another sidecar process; give the order again"
        except errors.StoreUnavailable as exc:
            return f"the lease cannot be checked while the object API is out: {exc}"
        return ""

    async def _store(self, fence: int) -> None:
        body = msgspec.json.encode(_Fence(fence))
        self._version = await self._objects.put(OBJECT_KIND, self._server, body, self._version)
        self.fence = fence
