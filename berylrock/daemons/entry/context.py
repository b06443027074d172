"""Defines the context that the request handlers of an entry process share."""

from typing import NamedTuple

from berylrock.daemons import runtime
from berylrock.daemons.entry import placement, serverlinks
from berylrock.loader import settings
from berylrock.ops import budget, cascades, claims, fleetstate, ledger, sessions, versionhealth
from berylrock.plugins import registry

__all__ = ["Context"]


class Context(NamedTuple):
    """The state and services that request handlers use.

    Attributes:
      cfg: The process's settings.
      runtime: The services that every process has.
      server_links: The connections to the backend servers' sidecars.
      placer: Places attempts on backend servers.
      policy: Ranks versions by preference.
      budget: Limits retries to a share of traffic.
      claims: Claims on requests that run at most once.
      ledger: Bills that are not stored yet.
      sessions: Versions pinned by sessions whose requests carry no token.
      fleet: The stored state that all entry processes share.
      version_health: Tracks the health of versions.
      cascades: Plans cascades.
    """

    cfg: settings.EntrySettings
    runtime: runtime.Runtime
    server_links: serverlinks.ServerLinks
    placer: placement.Placer
    policy: registry.Policy
    budget: budget.RetryBudget
    claims: claims.ClaimStore
    ledger: ledger.Ledger
    sessions: sessions.SessionTable
    fleet: fleetstate.FleetState
    version_health: versionhealth.HealthMonitor
    cascades: cascades.Cascades
