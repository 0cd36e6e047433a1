"""Runs of all strategies for the report of ``dogwoodgap-lab experiment``."""

import collections.abc
import concurrent.futures
import dataclasses
import enum

from dogwoodgap_lab import figures, simulation, strategies, workload

LOADS = (0.5, 0.8, 1.0, 1.2)
QUICK_LOADS = (1.0,)
# An hour of evening peak; shorter runs end before queues at 1.0 have built up.
HORIZON_S = 3_600.0
QUICK_HORIZON_S = 600.0
WARMUP_S = 300.0
QUICK_WARMUP_S = 100.0
FULL_NAME = "dogwoodgap"
OTHER_SEEDS = 3


class Part(enum.StrEnum):
    """Part of the report that a run belongs to."""

    COMPARISON = "comparison"
    ABLATION = "ablation"
    TRADE = "trade"
    OVERLOAD = "overload"
    SEEDS = "seeds"


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One simulation."""

    part: Part
    deployment: str
    load: float
    name: str
    strategy: strategies.Strategy
    horizon_s: float
    warmup_s: float
    seed: int


@dataclasses.dataclass(slots=True)
class Run:
    """A finished simulation."""

    job: Job
    result: figures.Result


def jobs(
    deployment: str, loads: collections.abc.Sequence[float], *, quick: bool, seed: int
) -> list[Job]:
    """Return the runs of one deployment.

    Ablation and trade are measured at 1.0 and tight deadlines at 1.2 only.
    """
    horizon_s = QUICK_HORIZON_S if quick else HORIZON_S
    warmup_s = QUICK_WARMUP_S if quick else WARMUP_S

    def job(part: Part, load: float, name: str, strategy: strategies.Strategy) -> Job:
        return Job(part, deployment, load, name, strategy, horizon_s, warmup_s, seed)

    compared = {**strategies.BASELINES, FULL_NAME: strategies.FULL}
    found = [
        job(Part.COMPARISON, load, name, strategy)
        for load in loads
        for name, strategy in compared.items()
    ]
    for part, load, table in (
        (Part.ABLATION, 1.0, strategies.ABLATIONS),
        (Part.TRADE, 1.0, strategies.WEIGHT_TRADE_OFFS),
        (Part.OVERLOAD, 1.2, strategies.OVERLOAD),
    ):
        if load in loads:
            found += [job(part, load, name, strategy) for name, strategy in table.items()]
    if 1.0 in loads:
        found += [
            dataclasses.replace(job(Part.SEEDS, 1.0, name, compared[name]), seed=other)
            for other in range(seed + 1, seed + 1 + OTHER_SEEDS)
            for name in ("prefix-affinity", "call-priority", FULL_NAME)
        ]
    return found


def run_job(job: Job) -> Run:
    """Run one simulation."""
    result = simulation.simulate(
        workload.DEPLOYMENTS[job.deployment],
        job.strategy,
        job.load,
        seed=job.seed,
        horizon_s=job.horizon_s,
        warmup_s=job.warmup_s,
    )
    return Run(job, result)


def run_all(planned: list[Job], workers: int) -> collections.abc.Iterator[Run]:
    """Run all jobs, on several processes when ``workers`` is more than 1; results in order."""
    if workers <= 1:
        yield from map(run_job, planned)
        return
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        yield from pool.map(run_job, planned)
