"""Synthetic workloads of the two deployments, drawn from a seed."""

import dataclasses
import math

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Tool:
    """A tool call's duration: log-normal, or Pareto when ``pareto_exponent`` is set.

    Attributes
    ----------
    median_s : float
        Median duration.
    sigma : float
        Sigma of the log-normal distribution.
    pareto_exponent : float
        Exponent of the Pareto distribution; a smaller one has a heavier tail.
    """

    name: str
    median_s: float
    sigma: float = 0.8
    pareto_exponent: float = 0.0

    def draw(self, generator: np.random.Generator) -> float:
        """Draw a duration in seconds, at most ten minutes."""
        if self.pareto_exponent:
            scale = self.median_s / 2 ** (1 / self.pareto_exponent)
            pause = scale * (1.0 + generator.pareto(self.pareto_exponent))
        else:
            pause = self.median_s * math.exp(self.sigma * generator.standard_normal())
        return min(float(pause), 600.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramKind:
    """Distribution of one kind of program.

    Attributes
    ----------
    share : float
        Share of all programs.
    turns : tuple of int
        Smallest and largest number of turns.
    shared_tokens : int
        Length of the prompt prefix that all programs of the kind share.
    first_prompt_tokens, new_prompt_tokens, output_tokens : int
        Median new prompt tokens of the first turn and of later ones, and output tokens of a turn.
    helper_share : float
        Share of turns that run helper programs instead of a tool.
    urgency_share : float
        Share of programs with urgency 1.
    turn_skew : float
        Exponent that favours small numbers of turns; 1 means uniform.
    """

    name: str
    share: float
    turns: tuple[int, int]
    shared_tokens: int
    first_prompt_tokens: int
    new_prompt_tokens: int
    output_tokens: int
    tools: tuple[Tool, ...]
    helper_share: float = 0.0
    urgency_share: float = 0.0
    turn_skew: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment's fleet, customers and kinds of programs.

    Attributes
    ----------
    capacity_per_s : float
        Programs per second that saturated engines complete when the cache never evicts. See
        :func:`simulation.calibrate` and ``dogwoodgap-lab calibrate``.
    delay_s : float
        One-way delay between a node and a runner.
    """

    name: str
    nodes: int
    runners: int
    memory_tokens: int
    customers: int
    data_centres: tuple[str, ...]
    delay_s: float
    capacity_per_s: float
    kinds: tuple[ProgramKind, ...]
    helper: ProgramKind
    latency_weight: float = 1.0
    cache_weight: float = 1.0


@dataclasses.dataclass(slots=True)
class TurnSpec:
    """A model call followed by a tool call of ``pause_s`` or by helper programs."""

    new_tokens: int
    output_tokens: int
    tool: str
    pause_s: float
    helpers: list["ProgramSpec"] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ProgramSpec:
    """One program of the workload.

    Attributes
    ----------
    abandoned : bool
        Whether the caller disappears after the last turn without ending the program.
    looping : bool
        Whether the last turns repeat the same call.
    """

    arrives_at: float
    id: str
    customer: str
    profile: str
    shared_tokens: int
    turns: list[TurnSpec]
    urgency: int = 0
    abandoned: bool = False
    looping: bool = False

    def ideal_s(self) -> float:
        """Return the latency on idle engines that cache every prefix, in seconds."""
        total = self.shared_tokens / 8_000.0
        for turn in self.turns:
            helpers = max((helper.ideal_s() for helper in turn.helpers), default=0.0)
            total += turn.new_tokens / 8_000.0 + turn.output_tokens / 50.0
            total += max(turn.pause_s, helpers)
        return total


ORECHOV_HELPER = ProgramKind("helper", 0.0, (1, 3), 800, 500, 250, 110, (Tool("notes", 1.5),))
LAKESHORE_HELPER = ProgramKind("helper", 0.0, (1, 2), 800, 500, 250, 110, (Tool("notes", 1.5),))

ORECHOV = Deployment(
    name="orechov",
    nodes=7,
    runners=5,
    memory_tokens=120_000,
    customers=6,
    data_centres=("brno-a", "brno-b", "znojmo"),
    delay_s=0.0005,
    capacity_per_s=0.461,
    kinds=(
        ProgramKind(
            "planner",
            0.35,
            (6, 20),
            3_000,
            1_500,
            700,
            220,
            (Tool("stock", 2.0), Tool("weather", 3.0), Tool("approval", 15.0, pareto_exponent=1.2)),
            helper_share=0.12,
        ),
        ProgramKind(
            "advisor",
            0.65,
            (2, 7),
            2_000,
            800,
            400,
            160,
            (Tool("sensor", 1.0), Tool("weather", 3.0), Tool("dryer", 8.0, pareto_exponent=1.5)),
            urgency_share=0.03,
        ),
    ),
    helper=ORECHOV_HELPER,
    latency_weight=4.0,
    cache_weight=1.0,
)

LAKESHORE = Deployment(
    name="lakeshore",
    nodes=9,
    runners=5,
    memory_tokens=200_000,
    customers=36,
    data_centres=("lakes-a", "lakes-b", "lakes-c"),
    delay_s=0.0015,
    capacity_per_s=0.527,
    kinds=(
        ProgramKind(
            "quote",
            0.75,
            (2, 8),
            2_500,
            4_000,
            600,
            180,
            (Tool("photos", 3.0), Tool("prices", 1.5), Tool("customer", 20.0, pareto_exponent=1.2)),
        ),
        ProgramKind(
            "route",
            0.25,
            (8, 51),
            3_500,
            1_200,
            650,
            160,
            (Tool("map", 1.5), Tool("traffic", 2.0), Tool("permit", 20.0, pareto_exponent=1.3)),
            turn_skew=2.0,
        ),
    ),
    helper=LAKESHORE_HELPER,
    latency_weight=1.0,
    cache_weight=4.0,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (ORECHOV, LAKESHORE)}
ABANDONED_SHARE = 0.08
LOOPING_SHARE = 0.02
LOOP_TURNS = 24


def draw_tokens(generator: np.random.Generator, median: float, sigma: float = 0.6) -> int:
    """Draw a log-normal number of tokens, at least 8."""
    return max(8, int(median * math.exp(sigma * generator.standard_normal())))


def draw_turns(generator: np.random.Generator, kind: ProgramKind) -> list[TurnSpec]:
    """Draw the turns of a program, the last one without a tool."""
    min_turns, max_turns = kind.turns
    count = min_turns + int((max_turns - min_turns + 1) * generator.random() ** kind.turn_skew)
    turns = []
    for number in range(count):
        tool = kind.tools[int(generator.integers(len(kind.tools)))]
        turns.append(
            TurnSpec(
                draw_tokens(
                    generator, kind.new_prompt_tokens if number else kind.first_prompt_tokens
                ),
                min(draw_tokens(generator, kind.output_tokens), 1_500),
                tool.name,
                tool.draw(generator),
            )
        )
    turns[-1].pause_s = 0.0
    return turns


def add_helpers(
    generator: np.random.Generator, deployment: Deployment, kind: ProgramKind, program: ProgramSpec
) -> None:
    """Replace the tools of some turns by two to four helper programs."""
    number = 0
    for turn in program.turns[:-1]:
        if generator.random() >= kind.helper_share:
            continue
        for _ in range(int(generator.integers(2, 5))):
            number += 1
            turns = draw_turns(generator, deployment.helper)
            turn.helpers.append(
                ProgramSpec(
                    0.0,
                    f"{program.id}.{number}",
                    program.customer,
                    "helper",
                    deployment.helper.shared_tokens,
                    turns,
                )
            )
        turn.tool = "helpers"
        turn.pause_s = 0.0


def draw_fault(generator: np.random.Generator, program: ProgramSpec) -> None:
    """Abandon some programs after a part of their turns and make others loop."""
    draw = generator.random()
    if draw < ABANDONED_SHARE and len(program.turns) > 1:
        keep = int(generator.integers(1, len(program.turns)))
        del program.turns[keep:]
        program.abandoned = True
    elif draw < ABANDONED_SHARE + LOOPING_SHARE:
        repeated = dataclasses.replace(program.turns[-1], pause_s=1.0, tool="retry", helpers=[])
        program.turns += [dataclasses.replace(repeated) for _ in range(LOOP_TURNS)]
        program.looping = True


def generate(deployment: Deployment, load: float, horizon_s: float, seed: int) -> list[ProgramSpec]:
    """Draw the programs of an open loop, in order of arrival, up to ``horizon_s`` seconds.

    ``load`` is the arrival rate relative to the capacity of the engines.
    """
    generator = np.random.default_rng([seed, deployment.nodes])
    weights = 1.0 / np.arange(1, deployment.customers + 1) ** 0.7
    weights /= weights.sum()
    shares = [kind.share for kind in deployment.kinds]
    programs = []
    now = 0.0
    while True:
        now += float(generator.exponential(1.0 / (load * deployment.capacity_per_s)))
        if now > horizon_s:
            return programs
        kind = deployment.kinds[int(generator.choice(len(shares), p=shares))]
        customer = f"customer-{int(generator.choice(deployment.customers, p=weights))}"
        program = ProgramSpec(
            now,
            f"p{len(programs)}",
            customer,
            kind.name,
            kind.shared_tokens,
            draw_turns(generator, kind),
            urgency=1 if generator.random() < kind.urgency_share else 0,
        )
        add_helpers(generator, deployment, kind, program)
        draw_fault(generator, program)
        programs.append(program)
