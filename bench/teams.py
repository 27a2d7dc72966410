#!/usr/bin/env python3
"""Reads from the log of a played day (`fleetbench run ... --log info`) what each single team got.

    bench/teams.py LOG...

Adds up the leaders' `teams:` lines. Ends non-zero if a team got less than half of what teams got in the middle: on days whose
teams ask for alike, it was not served. What a leader that was killed had not told yet, a worker lease at the most, is missing.
"""
import collections
import pathlib
import re
import statistics
import sys

TEAM = re.compile(r"(\S+) (\d+) started (\d+) done (\d+) stopped")


def main():
    bad = False
    for path in map(pathlib.Path, sys.argv[1:]):
        teams = collections.defaultdict(lambda: [0, 0, 0])
        for line in path.read_text(errors="replace").splitlines():
            if " info teams: " in line:
                for name, *counts in TEAM.findall(line.split(" info teams: ")[1]):
                    teams[name] = [a + int(b) for a, b in zip(teams[name], counts)]
        if not teams:
            sys.exit(f"{path}: no team was told of")
        middle = statistics.median(t[0] for t in teams.values())
        for name, (started, done, stopped) in sorted(teams.items()):
            low = started * 2 < middle
            bad |= low
            print(f"{path.stem} {name}: {started} started, {done} done, {stopped} stopped{' LESS THAN HALF' if low else ''}")
    sys.exit(bad)


if __name__ == "__main__":
    main()
