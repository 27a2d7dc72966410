#!/usr/bin/env python3
"""Counts the started, completed and stopped tasks of each team in the log of a simulated day (`fleetbench run ... --log info`).

    bench/teams.py LOG...

Adds up the leaders' `teams:` lines. Exits non-zero if fewer tasks were started for a team than half of the median over all teams:
on days whose teams request equal amounts, that team was not served. The counts that a killed leader had not logged yet are
missing; they cover one worker lease at the most.
"""
import collections
import dataclasses
import pathlib
import re
import statistics
import sys

TEAM_COUNTS = re.compile(r"(\S+) (\d+) started (\d+) done (\d+) stopped")
LINE_START = " info teams: "


@dataclasses.dataclass
class TaskCounts:
    started: int = 0
    done: int = 0
    stopped: int = 0


def read_counts(log):
    """Returns the sums over the lines of a log, by team."""
    teams = collections.defaultdict(TaskCounts)
    for line in log.read_text(errors="replace").splitlines():
        if LINE_START not in line:
            continue
        for name, started, done, stopped in TEAM_COUNTS.findall(line.split(LINE_START)[1]):
            counts = teams[name]
            counts.started += int(started)
            counts.done += int(done)
            counts.stopped += int(stopped)
    return teams


def main():
    any_low = False
    for log in map(pathlib.Path, sys.argv[1:]):
        teams = read_counts(log)
        if not teams:
            sys.exit(f"{log}: the log has no line with the counts of teams")
        median = statistics.median(counts.started for counts in teams.values())
        for name, counts in sorted(teams.items()):
            is_low = counts.started * 2 < median
            any_low |= is_low
            print(f"{log.stem} {name}: {counts.started} started, {counts.done} done, {counts.stopped} stopped"
                  f"{' LESS THAN HALF' if is_low else ''}")
    sys.exit(any_low)


if __name__ == "__main__":
    main()
