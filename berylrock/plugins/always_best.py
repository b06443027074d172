"""Reference policy for comparisons.

Prefers the version with the highest expected rating, whatever its price.
"""

from berylrock.plugins import registry

__all__ = ["rank"]


def rank(
    candidates: tuple[registry.Candidate, ...], preferences: registry.Preferences
) -> tuple[registry.Candidate, ...]:
    """Order versions by expected rating, the highest first; ignores the preferences."""
    return tuple(sorted(candidates, key=lambda item: (-item.quality, item.version_id)))


__plugins__ = (registry.Plugin("always_best", rank),)
