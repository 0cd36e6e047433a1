"""Scheduling strategies that experiments compare."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Strategy:
    """The plug-in for each scheduling decision, with its options.

    Attributes
    ----------
    limits : bool
        Whether looping programs are ended after ``max_repeats`` identical calls.
    shares_load : bool
        Whether nodes learn which calls their peers have sent to the runners.
    reconciles : bool
        Whether the sessions that engines report are compared with the live programs.
    profile_weights : tuple of float, optional
        Latency and cache weights that replace those of the deployment.
    call_deadline_s : float
        Deadline of each call.
    """

    ordering: str = "program"
    placement: str = "estimated-finish"
    retention: str = "cost"
    admission: str = "deadline"
    ordering_options: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    placement_options: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    retention_options: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    limits: bool = True
    shares_load: bool = True
    reconciles: bool = True
    profile_weights: tuple[float, float] | None = None
    call_deadline_s: float = 600.0


def baseline(ordering: str, placement: str) -> Strategy:
    """Return a baseline that schedules calls without regard to their programs."""
    return Strategy(
        ordering, placement, "none", "none", limits=False, shares_load=False, reconciles=False
    )


FULL = Strategy()

BASELINES = {
    "round-robin": baseline("fcfs", "round-robin"),
    "least-loaded": baseline("fcfs", "least-loaded"),
    "prefix-affinity": baseline("fcfs", "prefix-affinity"),
    "call-priority": baseline("call-priority", "prefix-affinity"),
}

ABLATIONS = {
    "order: first come": dataclasses.replace(FULL, ordering="fcfs"),
    "order: by call": dataclasses.replace(FULL, ordering="call-priority"),
    "order: no attained service": dataclasses.replace(
        FULL, ordering_options={"attained_gain": 0.0}
    ),
    "order: no fair share": dataclasses.replace(FULL, ordering_options={"fair_s": 0.0}),
    "placement: prefix affinity": dataclasses.replace(FULL, placement="prefix-affinity"),
    "placement: least loaded": dataclasses.replace(FULL, placement="least-loaded"),
    "placement: no transfer of prefixes": dataclasses.replace(
        FULL, placement_options={"transfer": False}
    ),
    "placement: without peers' sends": dataclasses.replace(FULL, shares_load=False),
    "retention: release ended only": dataclasses.replace(FULL, retention="release"),
    "retention: no release": dataclasses.replace(FULL, retention="none"),
    "retention: no export": dataclasses.replace(FULL, retention_options={"export": False}),
    "memory: no comparison with reports": dataclasses.replace(FULL, reconciles=False),
    "loops: no limit": dataclasses.replace(FULL, limits=False),
}

WEIGHT_TRADE_OFFS = {
    "latency_weight 4, cache_weight 1": dataclasses.replace(FULL, profile_weights=(4.0, 1.0)),
    "latency_weight 1, cache_weight 1": dataclasses.replace(FULL, profile_weights=(1.0, 1.0)),
    "latency_weight 1, cache_weight 4": dataclasses.replace(FULL, profile_weights=(1.0, 4.0)),
}

TIGHT_DEADLINE_S = 30.0
OVERLOAD = {
    "refuse early": dataclasses.replace(FULL, call_deadline_s=TIGHT_DEADLINE_S),
    "admit everything": dataclasses.replace(
        FULL, admission="none", call_deadline_s=TIGHT_DEADLINE_S
    ),
    "with deadline slack": dataclasses.replace(
        FULL, ordering_options={"slack": True}, call_deadline_s=TIGHT_DEADLINE_S
    ),
    "call-priority": dataclasses.replace(
        BASELINES["call-priority"], call_deadline_s=TIGHT_DEADLINE_S
    ),
}
