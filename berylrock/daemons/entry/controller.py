"""Advances rollouts and orders engines to load versions, in the entry process holding the lease.

Only one entry process at a time holds the lease. All progress is stored, so the next holder
continues or reverts a rollout from where it stood. While the object API is unavailable no rollout
advances and requests are served as before.
"""

import secrets
import time

import msgspec

from berylrock.core import data, message
from berylrock.daemons.entry import context, serverlinks
from berylrock.ops import fleetstate, lease

__all__ = ["RECONCILE_SECONDS", "Controller"]

RECONCILE_SECONDS = 1.0
ORDER_ID_BYTES = 8
ORDER_TIMEOUT_SECONDS = 60.0


class Controller:
    """Runs the control loop of the entry process that holds the lease."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._lease = lease.Lease(ctx.runtime.objects, lease.CONTROLLER, ctx.cfg.name)
        self._was_held = False
        self._orders: dict[str, tuple[str, str, float]] = {}

    @property
    def holds_lease(self) -> bool:
        """Whether this process holds the lease."""
        return self._lease.is_held()

    def describe(self) -> dict[str, object]:
        """Return the controller's state for the status page."""
        return {"held": self._lease.is_held(), "fence": self._lease.fence}

    async def reconcile(self) -> None:
        """Acquire or renew the lease; while it is held, advance rollouts and order loads.

        Does nothing until the lease is due to be checked.
        """
        if not self._lease.is_check_due():
            return
        holds_lease = await self._lease.acquire_or_renew()
        if holds_lease != self._was_held:
            self._was_held = holds_lease
            name = "lease_taken" if holds_lease else "lease_lost"
            self._ctx.runtime.log.write(name, fence=self._lease.fence)
        doc = self._ctx.runtime.config.doc
        if not holds_lease or doc is None:
            return
        await self._advance_rollouts(doc)
        self._load_missing_versions(doc)

    async def release(self) -> None:
        """Release the lease at a graceful shutdown, so that another process can take it."""
        await self._lease.release()

    async def _advance_rollouts(self, doc: data.Document) -> None:
        now = time.time()

        def change(record: fleetstate.FleetRecord) -> fleetstate.FleetRecord:
            progress = {}
            for rollout in doc.rollouts:
                name = f"{rollout.model}@{rollout.new}"
                old = record.progress.get(name)
                progress[name] = next_progress(rollout, old, name in record.bad, now)
            known = {f"{model.name}@{item.name}" for model in doc.models for item in model.versions}
            bad = {name: text for name, text in record.bad.items() if name in known}
            return msgspec.structs.replace(record, progress=progress, bad=bad)

        before = self._ctx.fleet.record.progress
        await self._ctx.fleet.update(change)
        for name, item in self._ctx.fleet.record.progress.items():
            if name not in before or before[name].percent != item.percent:
                self._ctx.runtime.log.write("rollout_step", version=name, percent=item.percent)

    def _load_missing_versions(self, doc: data.Document) -> None:
        """Order each server to load one of the versions that its pool serves and it lacks.

        Versions with a pending order to that server are skipped.
        """
        now = self._ctx.runtime.timer.now()
        self._orders = {key: item for key, item in self._orders.items() if item[2] > now}
        pending = {item[:2] for item in self._orders.values()}
        for server_link in self._ctx.server_links.by_name.values():
            for target in find_missing_versions(doc, server_link):
                if (server_link.server.name, target) not in pending:
                    self._send_order(server_link, "load", target)
                    break

    def _send_order(self, server_link: serverlinks.ServerLink, verb: str, target: str) -> None:
        if not self._lease.is_held():
            return
        order = message.Order(secrets.token_hex(ORDER_ID_BYTES), self._lease.fence, verb, target)
        deadline = self._ctx.runtime.timer.now() + ORDER_TIMEOUT_SECONDS
        self._orders[order.order_id] = (server_link.server.name, target, deadline)
        self._ctx.runtime.log.write(
            "order_given",
            server=server_link.server.name,
            verb=verb,
            target=target,
            fence=order.fence,
        )
        server_link.send(order)

    def handle_order_done(self, msg: message.OrderDone) -> None:
        """Handle the answer to an order."""
        self._orders.pop(msg.order_id, None)
        if not msg.accepted:
            self._ctx.runtime.log.write("order_not_taken", detail=msg.detail)


def next_progress(
    rollout: data.Rollout, old: fleetstate.Progress | None, bad: bool, now: float
) -> fleetstate.Progress:
    """Compute the next progress of a rollout.

    Args:
      rollout: The rollout as configured in the document.
      old: Its stored progress, or None if it is new.
      bad: Whether the new version was found bad.
      now: Unix time in seconds.

    Returns:
      The progress; 0 percent if the rollout is aborted or its new version is bad.
    """
    if bad or rollout.state == "aborted":
        if old is not None and old.percent == 0.0:
            return old
        return fleetstate.Progress(0.0, now)
    if old is None:
        return fleetstate.Progress(min(rollout.step_percent, rollout.percent), now)
    if rollout.state == "paused" or old.percent >= rollout.percent:
        return old
    if now - old.stepped < rollout.step_seconds:
        return old
    return fleetstate.Progress(min(old.percent + rollout.step_percent, rollout.percent), now)


def find_missing_versions(
    doc: data.Document, server_link: serverlinks.ServerLink
) -> tuple[str, ...]:
    """Return the versions that a server's pool serves and the server has not loaded.

    Withdrawn versions are left out. The result is empty for a server that is not connected, not
    reachable or leaving.
    """
    if not (server_link.connected and server_link.report.reachable) or server_link.report.leaving:
        return ()
    wanted = [
        f"{model.name}@{version.name}"
        for model in doc.models
        if model.pool == server_link.server.pool
        for version in model.versions
    ]
    return tuple(
        item for item in wanted if item not in server_link.loaded and item not in doc.withdrawals
    )
