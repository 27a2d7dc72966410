#!/usr/bin/env python3
"""Compares new entries of the journal with bench/baseline.toml; see bench/regress.sh.

    bench/compare.py LIST --sites N [--own N] [--accept]

LIST is a file with the names of the earlier journal entries. At least N sites must have new scores: a site that could not be
played has no score, and must not be taken for one without failures. --own: how many runs of days of bench/days must be new.
"""
import argparse
import json
import pathlib
import re
import subprocess
import sys
import tomllib

ALLOWED_FALL = 0.03
LEAST_SERVED_SHARE = 0.5
OBJECTIVE = re.compile(r"(up|wait|finished) (\S+?)(?: [\d.]+ s)?: ([\d.]+) ")
GUARANTEE = re.compile(r"guarantee [\d.]+ s: ([\d.]+) ")
ROOT = pathlib.Path(__file__).resolve().parent.parent
BASELINE = ROOT / "bench" / "baseline.toml"


def new_entries(known_names):
    for path in sorted((ROOT / "journal").glob("*.json")):
        if path.name not in known_names:
            yield json.loads(path.read_text())


def unserved(day):
    """Returns the classes and teams of which less than half was served on a day at large size.

    The shares are those that the entry has for each class and team, and those of the day's objectives. If a kind and class has
    several objectives, only the one with the highest share counts, which is the one that allows the longest time. Teams occur in
    the objectives only under a name that they share, so the share of all guarantees that were kept is included too.
    """
    shares = {("served", name): share for name, _, share in day.get("served", [])}
    for text, _ in day["aims"]:
        if match := OBJECTIVE.match(text):
            kind_and_class = match[1], match[2]
            shares[kind_and_class] = max(shares.get(kind_and_class, 0), float(match[3]))
        elif match := GUARANTEE.match(text):
            shares["guarantee", "all teams"] = float(match[1])
    return [f"{kind} {name}: {share}" for (kind, name), share in shares.items() if share < LEAST_SERVED_SHARE]


def day_failures(site, day):
    """Yields the failures of a day that count whatever its score is."""
    where = f"{site} {day['name']}"
    if day.get("rules"):
        yield f"{where}: broke a rule: {day['rules']}"
    if day.get("fault"):
        yield f"{where}: could not be played: {day['fault']}"
    if site.endswith(("-fleet", "-hunt")) and (names := unserved(day)):  # scaled sites keep the name
        yield f"{where}: less than half is served: {', '.join(names)}"
    if day.get("restarts"):
        yield f"{where}: a controller ended by itself, {day['restarts']} times"


def entry_failures(entry):
    site = entry["site"]
    if entry.get("error") or not entry.get("ok") or entry.get("days_left_out"):
        yield f"{site}: could not be played: {entry.get('error') or 'days were left out'}"
    for day in entry["days"]:
        yield from day_failures(site, day)


def score_falls(entry, baseline):
    """Returns the failure, if any, that a site's score fell by more than ALLOWED_FALL.

    Compares the site's scores if all days of the baseline were played, otherwise the means over the days that were played.
    """
    site, baseline_days = entry["site"], baseline["days"]
    days = {day["name"]: day["score"] for day in entry["days"] if day["name"] in baseline_days}
    if not days:
        return [f"{site}: no day of the baseline was played"]
    all_played = len(days) == len(baseline_days)
    before = baseline["score"] if all_played else sum(baseline_days[name] for name in days) / len(days)
    now = entry["score"] if all_played else sum(days.values()) / len(days)
    print(f"{site}: {now:.3f}, was {before:.3f}{'' if all_played else f' on {len(days)} days'}")
    if now >= before - ALLOWED_FALL:
        return []
    worst = min(days, key=lambda name: days[name] - baseline_days[name])
    return [f"{site}: fell by {before - now:.3f}, most on {worst}: {days[worst]:.2f}, was {baseline_days[worst]:.2f}"]


def accept(scores, baseline):
    """Replaces the baseline of the sites that were played in full."""
    commit = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, check=True, capture_output=True, text=True)
    for entry in scores:
        site = entry["site"]
        days = {day["name"]: round(day["score"], 3) for day in entry["days"] if not day["name"].startswith("fresh")}
        if baseline.get(site, {}).get("days", {}).keys() <= days.keys():
            baseline[site] = {"score": round(entry["score"], 3), "commit": commit.stdout.strip(), "days": days}
    lines = ["# Full scores on simulated machines, written by bench/regress.sh --full --accept.\n"]
    for site, values in sorted(baseline.items()):
        days = ", ".join(f"{name} = {score}" for name, score in values["days"].items())
        lines.append(f'\n[{site}]\nscore = {values["score"]}\ncommit = "{values["commit"]}"\ndays = {{ {days} }}\n')
    BASELINE.write_text("".join(lines))


def compare(entries, baseline, arguments):
    """Returns all failures, and prints the scores of the runs."""
    scores = [entry for entry in entries if entry["cmd"] == "score"]
    own_days = [entry for entry in entries if entry["cmd"] == "run"]
    failures = [failure for entry in entries for failure in entry_failures(entry)]
    if len({entry["site"] for entry in scores}) < arguments.sites:
        failures.append(f"only {len(scores)} of {arguments.sites} sites have a score")
    if len(own_days) < arguments.own:
        failures.append(f"only {len(own_days)} of {arguments.own} own days were played")
    for entry in own_days:
        day = entry["days"][0]
        print(f"{entry['site']} {day['name']}: {day['score']:.3f} at {day['servers']} machines")
    for entry in scores:
        if entry["site"] in baseline:
            failures += score_falls(entry, baseline[entry["site"]])
        elif not arguments.accept:
            failures.append(f"{entry['site']}: has no baseline")
    return failures


def may_be_accepted(failures):
    """Returns true if no failure forbids a new baseline.

    A fallen score does not forbid one. The failures that do are recognized by words in their texts.
    """
    return not any(word in failure for failure in failures for word in ("rule", "played", "ended", "served"))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("known", metavar="LIST", type=pathlib.Path)
    parser.add_argument("--sites", type=int, required=True)
    parser.add_argument("--accept", action="store_true")
    parser.add_argument("--own", type=int, default=0, help="how many days of bench/days must have been played")
    arguments = parser.parse_args()
    entries = list(new_entries(set(arguments.known.read_text().split())))
    baseline = tomllib.loads(BASELINE.read_text()) if BASELINE.exists() else {}
    failures = compare(entries, baseline, arguments)
    for failure in failures:
        print("FAILED", failure)
    if arguments.accept and may_be_accepted(failures):
        accept([entry for entry in entries if entry["cmd"] == "score"], baseline)
    sys.exit(bool(failures) and not arguments.accept)


if __name__ == "__main__":
    main()
