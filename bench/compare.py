#!/usr/bin/env python3
"""Compares new entries of the journal with bench/baseline.toml; see bench/regress.sh.

    bench/compare.py LIST --sites N [--accept]

LIST names the entries that were there before. At least N scored sites must have come: a site that could not
be played leaves no score, and must not pass for one that did well.
"""
import argparse
import json
import pathlib
import re
import subprocess
import sys
import tomllib

FALL = 0.03
SERVED = 0.5
AIM = re.compile(r"(up|wait|finished) (\S+?)(?: [\d.]+ s)?: ([\d.]+) ")
ROOT = pathlib.Path(__file__).resolve().parent.parent
BASELINE = ROOT / "bench" / "baseline.toml"


def new_entries(known):
    for path in sorted((ROOT / "journal").glob("*.json")):
        if path.name not in known:
            yield json.loads(path.read_text())


def unserved(day):
    """At large size a day fails if less than half of a class or team is served: by what the entry says of each, and by
    the day's own aims, the most patient one of each kind. Teams are named there by their common name only, so the share of
    all guarantees that was kept is taken too."""
    shares = {("served", name): share for name, _, share in day.get("served", [])}
    for text, _ in day["aims"]:
        if m := AIM.match(text):
            shares[m[1], m[2]] = max(shares.get((m[1], m[2]), 0), float(m[3]))
        elif m := re.match(r"guarantee [\d.]+ s: ([\d.]+) ", text):
            shares["guarantee", "all teams"] = float(m[1])
    return [f"{kind} {cls}: {share}" for (kind, cls), share in shares.items() if share < SERVED]


def troubles(entry):
    """What no figure makes good."""
    site = entry["site"]
    if entry.get("error") or not entry.get("ok") or entry.get("days_left_out"):
        yield f"{site}: could not be played: {entry.get('error') or 'days were left out'}"
    for day in entry["days"]:
        if day.get("rules"):
            yield f"{site} {day['name']}: broke a rule: {day['rules']}"
        if day.get("fault"):
            yield f"{site} {day['name']}: could not be played: {day['fault']}"
        if site.endswith(("-fleet", "-hunt")) and (left := unserved(day)):  # own sizes keep the name
            yield f"{site} {day['name']}: less than half is served: {', '.join(left)}"
        if day.get("restarts"):
            yield f"{site} {day['name']}: a controller ended by itself, {day['restarts']} times"


def fall(entry, base):
    """A score fell if all days were played; otherwise the mean of those that were."""
    site, days = entry["site"], {d["name"]: d["score"] for d in entry["days"] if d["name"] in base["days"]}
    if not days:
        return [f"{site}: no day of the baseline was played"]
    whole = len(days) == len(base["days"])
    was = base["score"] if whole else sum(base["days"][d] for d in days) / len(days)
    now = entry["score"] if whole else sum(days.values()) / len(days)
    print(f"{site}: {now:.3f}, was {was:.3f}{'' if whole else f' on {len(days)} days'}")
    if now >= was - FALL:
        return []
    worst = min(days, key=lambda d: days[d] - base["days"][d])
    return [f"{site}: fell by {was - now:.3f}, most on {worst}: {days[worst]:.2f}, was {base['days'][worst]:.2f}"]


def accept(entries, baseline):
    commit = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, check=True, capture_output=True, text=True)
    for e in entries:
        days = {d["name"]: round(d["score"], 3) for d in e["days"] if not d["name"].startswith("fresh")}
        whole = baseline.get(e["site"], {}).get("days", {}).keys() <= days.keys()
        if whole:
            baseline[e["site"]] = {"score": round(e["score"], 3), "commit": commit.stdout.strip(), "days": days}
    lines = ["# Full scores on simulated machines, written by bench/regress.sh --full --accept.\n"]
    for site, b in sorted(baseline.items()):
        table = ", ".join(f"{d} = {s}" for d, s in b["days"].items())
        lines.append(f'\n[{site}]\nscore = {b["score"]}\ncommit = "{b["commit"]}"\ndays = {{ {table} }}\n')
    BASELINE.write_text("".join(lines))


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("known", type=pathlib.Path)
    p.add_argument("--sites", type=int, required=True)
    p.add_argument("--accept", action="store_true")
    p.add_argument("--own", type=int, default=0, help="how many own days must have come")
    a = p.parse_args()
    entries = list(new_entries(set(a.known.read_text().split())))
    scores = [e for e in entries if e["cmd"] == "score"]
    baseline = tomllib.loads(BASELINE.read_text()) if BASELINE.exists() else {}
    found = [t for e in entries for t in troubles(e)]
    if len({e["site"] for e in scores}) < a.sites:
        found.append(f"only {len(scores)} of {a.sites} sites have a score")
    own = [e for e in entries if e["cmd"] == "run"]
    if len(own) < a.own:
        found.append(f"only {len(own)} of {a.own} own days were played")
    for e in own:
        print(f"{e['site']} {e['days'][0]['name']}: {e['days'][0]['score']:.3f} at {e['days'][0]['servers']} machines")
    for e in scores:
        if e["site"] in baseline:
            found += fall(e, baseline[e["site"]])
        elif not a.accept:
            found.append(f"{e['site']}: has no baseline")
    for f in found:
        print("FAILED", f)
    if a.accept and not any("rule" in f or "played" in f or "ended" in f or "served" in f for f in found):
        accept(scores, baseline)
    sys.exit(bool(found) and not a.accept)


if __name__ == "__main__":
    main()
