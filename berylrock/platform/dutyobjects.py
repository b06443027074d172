"""Converts the record of a duty's holder to and from the form in which the store keeps it."""

from typing import Annotated, Any

import msgspec

from berylrock.core import duties

__all__ = ["decode_duty", "encode_duty"]

MAX_COUNT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Duty(msgspec.Struct):
    gateway: str
    process: int
    token: _Count
    next_window: _Count = 0
    unreported: list[tuple[_Count, dict[str, _Count]]] = []
    renewals: _Count = 0


def decode_duty(spec: Any) -> duties.DutyRecord | None:
    """Decode the record of a duty; None if it is invalid."""
    try:
        raw = msgspec.convert(spec, _Duty)
    except msgspec.ValidationError:
        return None
    return duties.DutyRecord(
        duties.Holder(raw.gateway, raw.process),
        raw.token,
        raw.next_window,
        tuple(duties.WindowCounts(window, counts) for window, counts in raw.unreported),
        raw.renewals,
    )


def encode_duty(record: duties.DutyRecord) -> dict[str, Any]:
    """Return the record of a duty in the form in which the store keeps it."""
    return {
        "gateway": record.holder.gateway,
        "process": record.holder.process,
        "token": record.token,
        "next_window": record.next_window,
        "unreported": [(item.window, item.counts) for item in record.unreported],
        "renewals": record.renewals,
    }
