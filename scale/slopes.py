#!/usr/bin/env python3
"""Fits results of coralhitch-scale: each figure by least squares to the quantities with which it grows.

    python3 scale/slopes.py docs/capacity/*.json

Prints a table: the fit, the largest and the mean residual, and the number of phases in the fit.
"""
import dataclasses
import json
import math
import sys
from collections.abc import Callable

MIN_PIVOT = 1e-12  # below this the matrix counts as singular: the terms are collinear in the points


class CollinearTermsError(ValueError):
    """The terms of a fit are collinear in all points, so their coefficients can't be determined."""


# --- Least squares ------------------------------------------------------------------------------------------------


@dataclasses.dataclass
class Point:
    terms: list[float]
    figure: float


@dataclasses.dataclass
class Fit:
    coefficients: list[float]
    largest_residual: float
    mean_residual: float  # root mean square


def solve(matrix, constants):
    """Solves linear equations by Gaussian elimination with pivoting. The matrix must be square."""
    size = len(constants)
    rows = [[*matrix[index], constants[index]] for index in range(size)]
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(rows[row][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        if abs(rows[column][column]) < MIN_PIVOT:
            raise CollinearTermsError("the runs do not tell these apart")
        for row in range(size):
            if row == column:
                continue
            factor = rows[row][column] / rows[column][column]
            rows[row] = [value - factor * eliminated for value, eliminated in zip(rows[row], rows[column])]
    return [rows[index][size] / rows[index][index] for index in range(size)]


def fit(points):
    """Fits the points by least squares. Scales the terms first, since they differ by orders of magnitude."""
    term_count = len(points[0].terms)
    scales = [max(abs(point.terms[term]) for point in points) or 1 for term in range(term_count)]
    scaled = [[value / scale for value, scale in zip(point.terms, scales)] for point in points]
    figures = [point.figure for point in points]
    matrix = [[sum(terms[row] * terms[column] for terms in scaled) for column in range(term_count)]
              for row in range(term_count)]
    constants = [sum(terms[row] * figure for terms, figure in zip(scaled, figures)) for row in range(term_count)]
    coefficients = [value / scale for value, scale in zip(solve(matrix, constants), scales)]
    residuals = [abs(sum(coefficient * term for coefficient, term in zip(coefficients, point.terms)) - point.figure)
                 for point in points]
    mean = math.sqrt(sum(residual * residual for residual in residuals) / len(residuals))
    return Fit(coefficients, max(residuals), mean)


# --- Figures of a phase -------------------------------------------------------------------------------------------


def read_phases(files):
    for name in files:
        with open(name) as file:
            data = json.load(file)
        for run in data if isinstance(data, list) else [data]:
            yield from run["phases"]


def one(phase):
    return 1


def workers(phase):
    return phase["workers"]["workers"]


def tasks(phase):
    return phase["workers"]["tasks"]


def tasks_per_worker(phase):
    return tasks(phase) / workers(phase)


def starts_and_ends(phase):
    return phase["workers"]["starts_s"] + phase["workers"]["ends_s"]


def starts_and_ends_per_worker(phase):
    return starts_and_ends(phase) / workers(phase)


def ends(phase):
    return phase["workers"]["ends_s"]


def submissions(phase):
    return phase["users_s"]["submissions"]


def kv_changes(phase):
    return phase["state_s"]["changes"]


def kv_requests(phase):
    return phase["state_s"]["requests"]


def kv_bytes(phase):
    return phase["state_s"]["bytes_in"] + phase["state_s"]["bytes_out"]


def heartbeats_and_probes(phase):
    return phase["workers"]["reports_s"] + phase["workers"]["direct_s"]


def leader(phase):
    return phase["controllers"][phase["leader"]]


def relays(phase):
    return [row for name, row in phase["controllers"].items() if name != phase["leader"] and "plans_s" in row]


def of_leader(field):
    return lambda phase: leader(phase)[field]


def failover_step(step):
    return lambda phase: leader(phase)["takeover_s"][step]


# --- Lines of the table -------------------------------------------------------------------------------------------

STEADY = ("calm", "peak")
FAILOVER = ("takeover",)
ALL = (*STEADY, *FAILOVER, "roll")


@dataclasses.dataclass
class Line:
    """A figure and the terms to which it is fitted. `points` raises KeyError if a phase does not have the figure."""

    name: str
    phases: tuple[str, ...]
    terms: list[str]  # names of the terms; "": the constant term
    points: Callable[[dict], list[Point]]


def each_phase(figure, *terms):
    """Returns a function that makes one point for each phase."""
    return lambda phase: [Point([term(phase) for term in terms], figure(phase))]


def each_relay(field, *terms):
    """Returns a function that makes one point for each phase and relaying controller.

    A term is a function of the phase, or the name of a field of the controller's row.
    """
    def points(phase):
        return [Point([row[term] if isinstance(term, str) else term(phase) for term in terms], row[field])
                for row in relays(phase)]
    return points


LINES = [
    Line("leader, cores", STEADY, ["", "workers", "tasks", "starts and ends a second"],
         each_phase(of_leader("cores"), one, workers, tasks, starts_and_ends)),
    Line("leader, MB at most", STEADY, ["", "workers", "tasks"],
         each_phase(of_leader("peak_mb"), one, workers, tasks)),
    Line("leader, sockets", STEADY, ["", "workers"], each_phase(of_leader("sockets"), one, workers)),
    Line("leader, ms a plan (wall)", STEADY, ["", "workers", "tasks"],
         each_phase(lambda phase: leader(phase).get("plan_ms", 0), one, workers, tasks)),
    Line("relaying controller, cores", STEADY, ["", "reports heard a second", "of them passed on"],
         each_relay("cores", one, "reports_s", "reports_relayed_s")),
    Line("relaying controller, MB at most", STEADY, ["", "workers", "tasks"],
         each_relay("peak_mb", one, workers, tasks)),
    Line("relaying controller, sockets", STEADY, ["", "workers"], each_relay("sockets", one, workers)),
    Line("state service, changes a second", STEADY, ["", "ends a second", "submissions a second"],
         each_phase(kv_changes, one, ends, submissions)),
    Line("state service, requests a second", STEADY, ["", "workers", "changes a second"],
         each_phase(kv_requests, one, workers, kv_changes)),
    Line("state service, bytes in and out a second", STEADY, ["", "changes a second"],
         each_phase(kv_bytes, one, kv_changes)),
    Line("state service, bytes of machines", STEADY, ["", "workers"],
         each_phase(lambda phase: phase["state_bytes"]["mach"], one, workers)),
    Line("state service, bytes of live jobs", STEADY, ["", "jobs"],
         each_phase(lambda phase: phase["state_bytes"]["job"], one, lambda phase: phase["state_keys"]["job"])),
    Line("hollow state service and cloud, cores", STEADY, ["", "requests a second"],
         each_phase(lambda phase: phase["infrastructure"]["cores"], one, kv_requests)),
    Line("cloud, requests a second", STEADY, ["", "workers"],
         each_phase(lambda phase: phase["cloud_s"].get("requests", 0), one, workers)),
    Line("worker, bytes of a report", STEADY, ["", "tasks on it"],
         each_phase(lambda phase: phase["workers"]["report_bytes"], one, tasks_per_worker)),
    Line("worker, reports a second", STEADY, ["", "starts and ends a worker and second"],
         each_phase(lambda phase: phase["workers"]["reports_s"] / workers(phase), one, starts_and_ends_per_worker)),
    Line("worker, HTTP bytes a second", ALL, ["", "tasks on it", "starts and ends a worker and second"],
         each_phase(lambda phase: phase["workers"]["bytes_a_worker_s"], one, tasks_per_worker,
                    starts_and_ends_per_worker)),
    Line("hollow worker, cores", ALL, ["", "workers", "reports and questions a second"],
         each_phase(lambda phase: phase["workers"]["cores"], one, workers, heartbeats_and_probes)),
    Line("users and checker, cores", STEADY, ["", "starts and ends a second", "jobs submitted a second"],
         each_phase(lambda phase: phase["users"]["cores"], one, starts_and_ends, submissions)),
    Line("takeover, s until it may place", FAILOVER, ["", "workers", "tasks"],
         each_phase(failover_step("may place"), one, workers, tasks)),
    Line("takeover, s until all machines are settled", FAILOVER, ["", "workers", "tasks"],
         each_phase(failover_step("all machines settled"), one, workers, tasks)),
]


def collect_points(line, phases):
    points = []
    for phase in phases:
        if phase["name"] not in line.phases:
            continue
        try:
            points += line.points(phase)
        except KeyError:
            continue  # the controller was down in this phase, or did not take over
    return points


def row(line, phases):
    points = collect_points(line, phases)
    if len(points) <= len(line.terms):
        return f"| {line.name} | too few phases | | {len(points)} |"
    try:
        result = fit(points)
    except CollinearTermsError as error:
        return f"| {line.name} | {error} | | {len(points)} |"
    text = " + ".join(f"{coefficient:.3g}" + (f" × {term}" if term else "")
                      for coefficient, term in zip(result.coefficients, line.terms))
    return f"| {line.name} | {text} | {result.largest_residual:.2g}; {result.mean_residual:.2g} | {len(points)} |"


def main(files):
    phases = list(read_phases(files))
    print("| figure | fit | residual, largest; mean | phases |\n| --- | --- | --- | --- |")
    for line in LINES:
        print(row(line, phases))


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1:])
