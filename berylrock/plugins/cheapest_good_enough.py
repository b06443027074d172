"""Policy that prefers the cheapest version whose expected rating meets the target."""

from berylrock.plugins import registry

__all__ = ["rank"]


def rank(
    candidates: tuple[registry.Candidate, ...], preferences: registry.Preferences
) -> tuple[registry.Candidate, ...]:
    """Order the versions that meet the target rating by price, then the others by rating.

    Args:
      candidates: The versions that the request may run on.
      preferences: Target rating and highest price of the organisation.

    Returns:
      The candidates whose price is within the organisation's limit, the preferred one first.
    """
    # 0 means no limit.
    max_price = preferences.cost_per_million or float("inf")
    affordable = [item for item in candidates if item.cost_per_million <= max_price]
    good = [item for item in affordable if item.quality >= preferences.quality]
    others = [item for item in affordable if item.quality < preferences.quality]
    good.sort(key=lambda item: (item.cost_per_million, -item.quality, item.version_id))
    others.sort(key=lambda item: (-item.quality, item.cost_per_million, item.version_id))
    return (*good, *others)


__plugins__ = (registry.Plugin("cheapest_good_enough", rank),)
