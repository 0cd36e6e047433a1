"""Figures of one simulation run of an experiment."""

import dataclasses

import numpy as np


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one simulated program.

    Attributes
    ----------
    ideal_s : float
        Latency without queueing.
    counted : bool
        Whether the program counts in the latency and fairness figures.
    """

    customer: str
    profile: str
    latency_s: float
    ideal_s: float
    counted: bool
    failed: bool = False


@dataclasses.dataclass(slots=True)
class Result:
    """Figures of one run, with times in seconds and shares between 0 and 1."""

    programs: int
    mean_s: float
    median_s: float
    p95_s: float
    p99_s: float
    wasted: float
    fairness: float
    calls: int
    refused: int
    late: int
    failed: int
    cached_share: float
    computed_share: float
    busy: float
    completed_per_s: float
    wasted_ended: float
    wasted_unused: float


def jain_index(outcomes: list[Outcome]) -> float:
    """Return Jain's fairness index of the customers' mean slowdowns; 1 is perfectly fair."""
    slowdowns: dict[str, list[float]] = {}
    for outcome in outcomes:
        slowdown = outcome.latency_s / max(outcome.ideal_s, 0.001)
        slowdowns.setdefault(outcome.customer, []).append(slowdown)
    means = np.array([np.mean(values) for values in slowdowns.values()])
    return float(means.sum() ** 2 / (len(means) * (means**2).sum()))
