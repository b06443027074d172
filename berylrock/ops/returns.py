"""Tells refused callers when to come back.

Load pattern: the store is away, and every request with a key has to be refused. A caller comes back
once, or a few times, and gives up then. If all of them come back after half a second, they use up
their repeats while the store is still away. How long an outage will last is not known, but one that
has lasted for some seconds mostly lasts for some more.
"""

__all__ = ["MIN_RETURN_S", "after_outage_s"]

# Shortest time after which a refused caller is asked to come back, in seconds.
MIN_RETURN_S = 0.5
# Callers wait for no longer than this share of the time that they have left.
HONOURED_SHARE = 1.0 / 3.0
# What the caller's own clock may already have lost on the way, as a share of that time.
HONOURED_MARGIN = 0.95
# Callers that are refused together come back within this share of the wait, not at one moment.
SPREAD_SHARE = 0.3


def after_outage_s(outage_s: float, left_s: float, draw: float) -> float:
    """Return when a caller is to come back that is refused because the store is away.

    Args:
      outage_s: How long the store has been away, in seconds.
      left_s: Time for which the caller will still wait for its answer, in seconds.
      draw: Random number from 0 to 1.

    Returns:
      The wait in seconds: about as long again as the outage, within what the caller accepts.
    """
    longest_s = HONOURED_SHARE * HONOURED_MARGIN * max(0.0, left_s)
    wait_s = min(max(MIN_RETURN_S, outage_s), longest_s)
    return max(MIN_RETURN_S, wait_s) * (1.0 - SPREAD_SHARE * draw)
