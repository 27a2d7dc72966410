#!/usr/bin/env python3
"""Reads from the log of a simulated day (`fleetbench run ... --log info`) how long each failover took.

    bench/takeovers.py LOG... [--after SECONDS]

Covers the leaders that were elected after --after seconds of the day (default 100). For each one, prints the seconds from the
election until the stored state was loaded (`loaded`), until placement was allowed (`first`), and until all machines were
reconciled (`settled`), and how many machines were fenced as silent in the first 15 s. The first line has the number of machines
that were fenced as silent after --after, the last lines have the median and the maximum of each step.
"""
import argparse
import dataclasses
import pathlib
import re
import statistics

LOG_LINE = re.compile(r"\s*([\d.]+) (\S+) \d\d:\d\d:\d\d\.\d+ \w+ (.*)")
# The current format, and that of logs written before log lines had events.
ELECTED = ("component=election event=elected ", "election: won")
FENCED_AS_SILENT = re.compile(r"event=machine_marked_for_deletion .*\bsilence_s=| is silent")
EARLY_S = 15
STEP = "component=failover event=step_completed step="
# The line of each step in the current format, and in that of logs written before log lines had events.
STEP_LINES = {
    "loaded": (STEP + "loaded ", "leader: loaded"),
    "first": (STEP + "placement_allowed ", "leader: may place after"),
    "settled": (STEP + "reconciled ", "leader: all machines settled"),
}


@dataclasses.dataclass
class Failover:
    elected_at: float
    controller: str
    seconds: dict[str, float] = dataclasses.field(default_factory=dict)  # from the election, by step
    fenced_early: int = 0

    def record_line(self, time, text):
        for step, prefixes in STEP_LINES.items():
            if text.startswith(prefixes):
                self.seconds.setdefault(step, time - self.elected_at)
        if FENCED_AS_SILENT.search(text) and time - self.elected_at < EARLY_S:
            self.fenced_early += 1


def read_failovers(log, after_s):
    """Returns the failovers of a log after `after_s`, and how many machines were fenced as silent after that time."""
    failovers, fenced = [], 0
    for line in log.read_text(errors="replace").splitlines():
        if not (match := LOG_LINE.match(line)):
            continue
        time, controller, text = float(match[1]), match[2], match[3]
        if FENCED_AS_SILENT.search(text) and time > after_s:
            fenced += 1
        if time > after_s and text.startswith(ELECTED):
            failovers.append(Failover(time, controller))
        elif failovers and failovers[-1].controller == controller:
            failovers[-1].record_line(time, text)
    return failovers, fenced


def print_failovers(failovers):
    for failover in failovers:
        seconds = failover.seconds
        # Logs from before `placement_allowed` was logged: placement began when all machines had been reconciled.
        if "settled" in seconds:
            seconds.setdefault("first", seconds["settled"])
        steps = (f"{step} {seconds[step]:.2f}" if step in seconds else f"{step} never" for step in STEP_LINES)
        print(f"  {failover.elected_at:8.2f} {failover.controller}: {', '.join(steps)}, {failover.fenced_early} fenced")
    for step in STEP_LINES:
        if times := [failover.seconds[step] for failover in failovers if step in failover.seconds]:
            print(f"  {step}: median {statistics.median(times):.2f}, most {max(times):.2f}, of {len(times)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    parser.add_argument("--after", type=float, default=100, help="seconds at the beginning of the day that are left out")
    arguments = parser.parse_args()
    for log in arguments.logs:
        failovers, fenced = read_failovers(log, arguments.after)
        print(f"{log.stem}: {len(failovers)} takeovers, {fenced} machines fenced as silent")
        print_failovers(failovers)


if __name__ == "__main__":
    main()
