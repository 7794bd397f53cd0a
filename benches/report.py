"""How benches print what they measured."""

from __future__ import annotations


def line(
    what: str, value: float, unit: str, limit: float | None = None
) -> None:
    """Prints one figure, and its ratio to the target if there is one."""
    ratio = "" if limit is None else f"  ratio to target {value / limit:.2f}"
    print(f"{what:<44}{value:>14.3f} {unit:<8}{ratio}", flush=True)


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile by the nearest rank.

    Args:
        values: At least one value.
        share: Between 0 and 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns intercept and slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - rise * mean_x, rise
