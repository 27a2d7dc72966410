#!/usr/bin/env python3
"""Slopes from results of coralhitch-scale: least squares of each figure on what it grows with.

    python3 scale/slopes.py docs/capacity/*.json

Prints a table: the fit, the largest and the mean residual, and how many phases it was made of.
"""
import json
import math
import sys


def solve(a, b):
    """Gaussian elimination with pivots; a is square."""
    n = len(b)
    rows = [list(a[i]) + [b[i]] for i in range(n)]
    for i in range(n):
        p = max(range(i, n), key=lambda r: abs(rows[r][i]))
        rows[i], rows[p] = rows[p], rows[i]
        if abs(rows[i][i]) < 1e-12:
            raise ValueError("the runs do not tell these apart")
        for r in range(n):
            if r != i:
                f = rows[r][i] / rows[i][i]
                rows[r] = [x - f * y for x, y in zip(rows[r], rows[i])]
    return [rows[i][n] / rows[i][i] for i in range(n)]


def fit(points):
    """points: (values of the terms, y). Terms are scaled first, since they differ by orders of magnitude."""
    scale = [max(abs(x[k]) for x, _ in points) or 1 for k in range(len(points[0][0]))]
    xs = [[v / s for v, s in zip(x, scale)] for x, _ in points]
    ys = [y for _, y in points]
    k = len(scale)
    a = [[sum(x[i] * x[j] for x in xs) for j in range(k)] for i in range(k)]
    b = [sum(x[i] * y for x, y in zip(xs, ys)) for i in range(k)]
    c = [v / s for v, s in zip(solve(a, b), scale)]
    residuals = [abs(sum(v * w for v, w in zip(c, x)) - y) for x, y in points]
    return c, max(residuals), math.sqrt(sum(r * r for r in residuals) / len(residuals))


def phases(files):
    for name in files:
        data = json.load(open(name))
        for run in data if isinstance(data, list) else [data]:
            for p in run["phases"]:
                yield run["experiment"], p


def leader(p):
    return p["controllers"][p["leader"]]


def relays(p):
    return [c for name, c in p["controllers"].items() if name != p["leader"] and "plans_s" in c]


STEADY, ALL, TAKEOVER = ("calm", "peak"), ("calm", "peak", "takeover", "roll"), ("takeover",)


def moves(p):
    return p["workers"]["starts_s"] + p["workers"]["ends_s"]


# name, phases, terms, function of (experiment, phase) -> list of (terms' values, figure)
def of(y, *x):
    return lambda e, p: [([f(e, p) for f in x], y(e, p))]


def each_relay(y, *x):
    return lambda e, p: [([f(e, p, c) for f in x], y(c)) for c in relays(p)]


one = lambda e, p: 1
workers = lambda e, p: p["workers"]["workers"]
tasks = lambda e, p: p["workers"]["tasks"]
LINES = [
    ("leader, cores", STEADY, ["", "workers", "tasks", "starts and ends a second"],
     of(lambda e, p: leader(p)["cores"], one, workers, tasks, lambda e, p: moves(p))),
    ("leader, MB at most", STEADY, ["", "workers", "tasks"],
     of(lambda e, p: leader(p)["peak_mb"], one, workers, tasks)),
    ("leader, sockets", STEADY, ["", "workers"], of(lambda e, p: leader(p)["sockets"], one, workers)),
    ("leader, ms a plan (wall)", STEADY, ["", "workers", "tasks"],
     of(lambda e, p: leader(p).get("plan_ms", 0), one, workers, tasks)),
    ("relaying controller, cores", STEADY, ["", "reports heard a second", "of them passed on"],
     each_relay(lambda c: c["cores"], lambda e, p, c: 1, lambda e, p, c: c["reports_s"],
                lambda e, p, c: c["reports_relayed_s"])),
    ("relaying controller, MB at most", STEADY, ["", "workers", "tasks"],
     each_relay(lambda c: c["peak_mb"], lambda e, p, c: 1, lambda e, p, c: workers(e, p),
                lambda e, p, c: tasks(e, p))),
    ("relaying controller, sockets", STEADY, ["", "workers"],
     each_relay(lambda c: c["sockets"], lambda e, p, c: 1, lambda e, p, c: workers(e, p))),
    ("state service, changes a second", STEADY, ["", "ends a second", "submissions a second"],
     of(lambda e, p: p["state_s"]["changes"], one, lambda e, p: p["workers"]["ends_s"],
        lambda e, p: p["users_s"]["submissions"])),
    ("state service, requests a second", STEADY, ["", "workers", "changes a second"],
     of(lambda e, p: p["state_s"]["requests"], one, workers, lambda e, p: p["state_s"]["changes"])),
    ("state service, bytes in and out a second", STEADY, ["", "changes a second"],
     of(lambda e, p: p["state_s"]["bytes_in"] + p["state_s"]["bytes_out"], one,
        lambda e, p: p["state_s"]["changes"])),
    ("state service, bytes of machines", STEADY, ["", "workers"],
     of(lambda e, p: p["state_bytes"]["mach"], one, workers)),
    ("state service, bytes of live jobs", STEADY, ["", "jobs"],
     of(lambda e, p: p["state_bytes"]["job"], one, lambda e, p: p["state_keys"]["job"])),
    ("hollow state service and cloud, cores", STEADY, ["", "requests a second"],
     of(lambda e, p: p["infrastructure"]["cores"], one, lambda e, p: p["state_s"]["requests"])),
    ("cloud, requests a second", STEADY, ["", "workers"],
     of(lambda e, p: p["cloud_s"].get("requests", 0), one, workers)),
    ("worker, bytes of a report", STEADY, ["", "tasks on it"],
     of(lambda e, p: p["workers"]["report_bytes"], one, lambda e, p: tasks(e, p) / workers(e, p))),
    ("worker, reports a second", STEADY, ["", "starts and ends a worker and second"],
     of(lambda e, p: p["workers"]["reports_s"] / workers(e, p), one, lambda e, p: moves(p) / workers(e, p))),
    ("worker, HTTP bytes a second", ALL, ["", "tasks on it", "starts and ends a worker and second"],
     of(lambda e, p: p["workers"]["bytes_a_worker_s"], one, lambda e, p: tasks(e, p) / workers(e, p),
        lambda e, p: moves(p) / workers(e, p))),
    ("hollow worker, cores", ALL, ["", "workers", "reports and questions a second"],
     of(lambda e, p: p["workers"]["cores"], one, workers,
        lambda e, p: p["workers"]["reports_s"] + p["workers"]["direct_s"])),
    ("users and checker, cores", STEADY, ["", "starts and ends a second", "jobs submitted a second"],
     of(lambda e, p: p["users"]["cores"], one, lambda e, p: moves(p),
        lambda e, p: p["users_s"]["submissions"])),
    ("takeover, s until it may place", TAKEOVER, ["", "workers", "tasks"],
     of(lambda e, p: leader(p)["takeover_s"]["may place"], one, workers, tasks)),
    ("takeover, s until all machines are settled", TAKEOVER, ["", "workers", "tasks"],
     of(lambda e, p: leader(p)["takeover_s"]["all machines settled"], one, workers, tasks)),
]


def main(files):
    all_phases = list(phases(files))
    print("| figure | fit | residual, largest; mean | phases |\n| --- | --- | --- | --- |")
    for name, names, terms, line in LINES:
        points = []
        for e, p in all_phases:
            if p["name"] not in names:
                continue
            try:
                points += line(e, p)
            except KeyError:
                continue  # of a controller that was not there, or took over nothing
        if len(points) <= len(terms):
            print(f"| {name} | too few phases | | {len(points)} |")
            continue
        try:
            c, largest, mean = fit(points)
        except ValueError as error:
            print(f"| {name} | {error} | | {len(points)} |")
            continue
        text = " + ".join(f"{v:.3g}" + (f" × {t}" if t else "") for v, t in zip(c, terms))
        print(f"| {name} | {text} | {largest:.2g}; {mean:.2g} | {len(points)} |")


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1:])
