"""The parts of the entry process that serve requests share."""

from typing import NamedTuple

from berylrock.daemons import runtime
from berylrock.daemons.entry import peers, placement
from berylrock.loader import settings
from berylrock.ops import budget, cascades, claims, fleetstate, ledger, sessions, versionhealth
from berylrock.plugins import registry

__all__ = ["Context"]


class Context(NamedTuple):
    """What the handlers of requests may use.

    Attributes:
      cfg: The process's settings.
      kernel: The parts that every process has.
      peers: The backend servers.
      placer: Places attempts on them.
      policy: Orders versions by preference.
      budget: Limits retries to a share of traffic.
      claims: Claims on requests that run at most once.
      ledger: Bills not yet stored.
      sessions: Versions of sessions that come without a token.
      fleet: What the fleet has learned.
      verdicts: Evidence against versions.
      cascades: Plans cascades.
    """

    cfg: settings.EntrySettings
    runtime: runtime.Runtime
    peers: peers.PeerTable
    placer: placement.Placer
    policy: registry.Policy
    budget: budget.RetryBudget
    claims: claims.ClaimStore
    ledger: ledger.Ledger
    sessions: sessions.SessionTable
    fleet: fleetstate.FleetState
    verdicts: versionhealth.HealthMonitor
    cascades: cascades.Cascades
