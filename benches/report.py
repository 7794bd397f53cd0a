"""Output and statistics of the benchmarks."""

from __future__ import annotations


def print_figure(
    what: str, value: float, unit: str, limit: float | None = None
) -> None:
    """Prints a figure, and its ratio to the target if `limit` is given."""
    ratio = "" if limit is None else f"  ratio to target {value / limit:.2f}"
    print(f"{what:<44}{value:>14.3f} {unit:<8}{ratio}", flush=True)


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile by the nearest-rank method.

    Args:
        values: At least one value.
        fraction: Between 0 and 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns intercept and slope of the least-squares regression line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    )
    return mean_y - gradient * mean_x, gradient
