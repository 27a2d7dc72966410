#!/usr/bin/env python3
"""Writes variants of a day on which the leader alone is refused by the state service, and then everybody.

    bench/gap_days.py DAY.toml SITE.toml OUT_DIR

DAY is bench/days/gap-*.toml; its name, jobs and length are kept. Refusals, what lies between them and the outage, and
the outage's length go by ratios of the site's lease_s and cancel_s. Prints the files.
"""
import pathlib
import sys
import tomllib


def variants(lease, cancel, zone):
    refused = 'kind = "node_cut", count = 1, busiest = true, from_state = true, mode = "refuse"'
    for name, refuse_s, after_s, outage_s, more in [
        ("blip", 1.0, 0.5, cancel + 8, []),
        ("short", 3.0, 1.5, cancel + 8, []),
        ("past-the-ttl", 20.0, 8.0, cancel + 8, []),
        ("below-lease", 14.0, 2.0, lease - 2, []),
        ("above-lease", 14.0, 2.0, lease + 2, []),
        ("below-cancel", 14.0, 2.0, cancel - 2, []),
        ("back-to-back", 6.0, 1.5, 5.5, [(8.0, f"{refused}, for_s = 5.0"), (9.0, f'kind = "state_outage", for_s = {cancel}')]),
        ("restart", 14.0, 2.0, cancel + 8, [(8.0, 'kind = "node_crash", count = 1, busiest = true')]),
        ("zone", 14.0, 2.0, cancel + 8, [(5.0, f'kind = "zone_cut", zone = "{zone}", for_s = 20.0, mode = "hold"')]),
    ]:
        faults = [(0.0, f"{refused}, for_s = {refuse_s}"), (after_s, f'kind = "state_outage", for_s = {outage_s}')]
        yield name, faults + more


def main():
    day_file, site_file, out = (pathlib.Path(a) for a in sys.argv[1:4])
    site = tomllib.loads(site_file.read_text())
    workers = site["workers"]
    kept = [line for line in day_file.read_text().splitlines() if not line.startswith(("faults", "name", "#"))]
    out.mkdir(parents=True, exist_ok=True)
    for name, faults in variants(workers["lease_s"], workers["cancel_s"], site["nodes"]["zones"][-1]):
        rows = ",\n".join(f"  {{ at_s = {70.0 + at}, {fault} }}" for at, fault in faults)
        path = out / f"{site_file.stem}-gap-{name}.toml"
        path.write_text(f'name = "gap-{name}"\n' + "\n".join(kept) + f"\nfaults = [\n{rows},\n]\n")
        print(path)


if __name__ == "__main__":
    main()
