"""Prefers the cheapest version whose expected rating meets the target."""

from berylrock.plugins import registry

__all__ = ["rank"]


def rank(
    candidates: tuple[registry.Candidate, ...], preferences: registry.Preferences
) -> tuple[registry.Candidate, ...]:
    """Order by price those that meet the target, then the others by rating.

    Args:
      candidates: The versions that may be used.
      preferences: What the organisation asks for.

    Returns:
      The candidates within the highest price, the preferred one first.
    """
    bound = preferences.cost_per_million or float("inf")
    affordable = [item for item in candidates if item.cost_per_million <= bound]
    good = [item for item in affordable if item.quality >= preferences.quality]
    others = [item for item in affordable if item.quality < preferences.quality]
    good.sort(key=lambda item: (item.cost_per_million, -item.quality, item.version_id))
    others.sort(key=lambda item: (-item.quality, item.cost_per_million, item.version_id))
    return (*good, *others)


__plugins__ = (registry.Plugin("cheapest_good_enough", rank),)
