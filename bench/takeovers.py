#!/usr/bin/env python3
"""Reads from the log of a simulated day (`fleetbench run ... --log info`) how long each failover took.

    bench/takeovers.py LOG... [--after SECONDS]

For each leadership that began after so many seconds (100): seconds from the election until the stored state is loaded, until
the first decision may be made, and until all machines are reconciled; how many machines were fenced as silent in the first
15 s. Last, the medians; in the first line, the machines that were fenced as silent over the whole day.
"""
import argparse
import dataclasses
import pathlib
import re
import statistics

LOG_LINE = re.compile(r"\s*([\d.]+) (\S+) \d\d:\d\d:\d\d\.\d+ \w+ (.*)")
# Today's form, then that of logs written before log lines had events.
ELECTED = ("component=election event=elected ", "election: won")
FENCED_AS_SILENT = re.compile(r"event=machine_marked_for_deletion .*\bsilence_s=| is silent")
EARLY_S = 15
STEP = "component=failover event=step_completed step="
# Of each step the line of today, then that of logs written before log lines had events.
STEP_LINES = {
    "loaded": (STEP + "loaded ", "leader: loaded"),
    "first": (STEP + "placement_allowed ", "leader: may place after"),
    "settled": (STEP + "reconciled ", "leader: all machines settled"),
}


@dataclasses.dataclass
class Failover:
    elected_at: float
    controller: str
    seconds: dict[str, float] = dataclasses.field(default_factory=dict)  # by step
    fenced_early: int = 0

    def note(self, time, text):
        for step, starts in STEP_LINES.items():
            if text.startswith(starts):
                self.seconds.setdefault(step, time - self.elected_at)
        if FENCED_AS_SILENT.search(text) and time - self.elected_at < EARLY_S:
            self.fenced_early += 1


def read_failovers(log, after_s):
    """The failovers of a log, and how many machines were fenced as silent in it."""
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
            failovers[-1].note(time, text)
    return failovers, fenced


def print_failovers(failovers):
    for failover in failovers:
        seconds = failover.seconds
        # Before there was a log line of its own, the first decision came when all had been reconciled.
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
    parser.add_argument("--after", type=float, default=100, help="seconds of the day that are left out")
    arguments = parser.parse_args()
    for log in arguments.logs:
        failovers, fenced = read_failovers(log, arguments.after)
        print(f"{log.stem}: {len(failovers)} takeovers, {fenced} machines fenced as silent")
        print_failovers(failovers)


if __name__ == "__main__":
    main()
