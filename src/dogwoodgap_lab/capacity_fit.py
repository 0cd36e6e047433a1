"""Linear fits of measured figures, and the tables of the capacity page."""

import collections.abc
import pathlib

import msgspec
import numpy

MIN_FIT_SIZES = 3
"""Two sizes always lie on a line, so a fit through them has no residual to report."""


class Measure(msgspec.Struct, frozen=True):
    """Figures of one measurement run.

    Attributes
    ----------
    part : str
        What was measured.
    size : float
        Value of the variable that the part varies, for example the number of nodes.
    values : dict of str to float
        Figures by name; a name ends with its unit.
    """

    part: str
    size: float
    values: dict[str, float]


class Fit(msgspec.Struct, frozen=True):
    """A least-squares line through measured figures.

    Attributes
    ----------
    residual : float
        Largest absolute difference between a figure and the line, in the unit of the figure.
    sizes : list of float
        Sizes at which the figure was measured.
    """

    slope: float
    intercept: float
    residual: float
    sizes: list[float]

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


class Document(msgspec.Struct):
    """All measures, and their fits by part and figure name."""

    measures: list[Measure]
    fits: dict[str, dict[str, Fit]]


def fit_line(
    sizes: collections.abc.Sequence[float], figures: collections.abc.Sequence[float]
) -> Fit:
    """Return the least-squares line through figures.

    Raises
    ------
    ValueError
        When there are fewer than ``MIN_FIT_SIZES`` different sizes.
    """
    if len(set(sizes)) < MIN_FIT_SIZES:
        raise ValueError(f"a fit needs {MIN_FIT_SIZES} sizes or more, but got {sorted(set(sizes))}")
    columns = numpy.column_stack([numpy.asarray(sizes, float), numpy.ones(len(sizes))])
    values = numpy.asarray(figures, float)
    (slope, intercept), *_ = numpy.linalg.lstsq(columns, values, rcond=None)
    residual = numpy.abs(columns @ [slope, intercept] - values).max()
    return Fit(float(slope), float(intercept), float(residual), list(sizes))


def fit_measures(measures: list[Measure]) -> Document:
    """Return the measures with a fit for each figure that was measured at enough sizes."""
    fits: dict[str, dict[str, Fit]] = {}
    for part in dict.fromkeys(item.part for item in measures):
        part_measures = measures_of_part(measures, part)
        fits[part] = {}
        for name in figure_names(part_measures):
            points = [
                (item.size, item.values[name]) for item in part_measures if name in item.values
            ]
            sizes = [size for size, _ in points]
            if len(set(sizes)) >= MIN_FIT_SIZES:
                fits[part][name] = fit_line(sizes, [value for _, value in points])
    return Document(measures, fits)


def measures_of_part(measures: list[Measure], part: str) -> list[Measure]:
    """Return the measures of a part in order of size."""
    return sorted((item for item in measures if item.part == part), key=lambda item: item.size)


def figure_names(measures: list[Measure]) -> list[str]:
    """Return the figure names in their order of first appearance."""
    return list(dict.fromkeys(name for item in measures for name in item.values))


def format_figure(value: float) -> str:
    """Return a figure with three significant digits, or as a whole number from 1,000 on."""
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def part_table(document: Document, part: str) -> list[str]:
    """Return the table of one part: a row per figure, a column per size, then the fit."""
    part_measures = measures_of_part(document.measures, part)
    column_heads = [format_figure(item.size) for item in part_measures]
    lines = [
        f"## {part}",
        "",
        f"| figure | {' | '.join(column_heads)} | slope | intercept | largest residual |",
        f"| --- |{' ---: |' * (len(column_heads) + 3)}",
    ]
    for name in figure_names(part_measures):
        cells = [
            format_figure(item.values[name]) if name in item.values else "-"
            for item in part_measures
        ]
        line = document.fits[part].get(name)
        fitted = [line.slope, line.intercept, line.residual] if line else []
        cells += [format_figure(value) for value in fitted] or ["-"] * 3
        lines.append(f"| {name} | {' | '.join(cells)} |")
    return [*lines, ""]


def page(document: Document) -> str:
    """Return the tables of all parts as Markdown."""
    lines = [
        "# Measured figures of the capacity page",
        "",
        "Written by `dogwoodgap-lab capacity report`; do not edit. Columns are sizes.",
        "",
    ]
    for part in dict.fromkeys(item.part for item in document.measures):
        lines += part_table(document, part)
    return "\n".join(lines)


def append_measure(path: pathlib.Path, measure: Measure) -> None:
    """Append a measure to a JSON Lines file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as target:
        target.write(msgspec.json.encode(measure) + b"\n")


def read_measures(path: pathlib.Path) -> list[Measure]:
    """Return the measures of a file, only the last one for each part and size."""
    measures_by_size: dict[tuple[str, float], Measure] = {}
    for line in path.read_bytes().splitlines():
        measure = msgspec.json.decode(line, type=Measure)
        measures_by_size[measure.part, measure.size] = measure
    return sorted(measures_by_size.values(), key=lambda item: (item.part, item.size))


def write_report(document: Document, folder: pathlib.Path) -> None:
    """Write ``capacity.json`` and ``capacity.md``."""
    folder.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(document), indent=1)
    (folder / "capacity.json").write_bytes(data + b"\n")
    (folder / "capacity.md").write_text(page(document), encoding="utf-8")
