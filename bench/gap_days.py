#!/usr/bin/env python3
"""Writes variants of a simulated day in which the key-value store first refuses the leader only, and then has an outage.

    bench/gap_days.py DAY.toml SITE.toml OUT_DIR

DAY is one of bench/days/gap-*.toml. Its faults and name are replaced, all else is kept. The variants differ in how long the
leader is refused, when the outage begins, and how long the outage is relative to lease_s and cancel_s of the site. Prints the
paths of the files.
"""
import dataclasses
import pathlib
import sys
import tomllib

FIRST_FAULT_S = 70.0
LEADER_REFUSED = 'kind = "node_cut", count = 1, busiest = true, from_state = true, mode = "refuse"'
LEADER_KILLED = 'kind = "node_crash", count = 1, busiest = true'


@dataclasses.dataclass
class Variant:
    name: str
    refused_s: float
    outage_at_s: float  # seconds from the beginning of the refusal
    outage_s: float
    more_faults: tuple = ()  # (seconds after the first fault, fault)

    def faults(self):
        return [(0.0, f"{LEADER_REFUSED}, for_s = {self.refused_s}"),
                (self.outage_at_s, f'kind = "state_outage", for_s = {self.outage_s}'), *self.more_faults]


def variants(lease_s, cancel_s, zone):
    second_outage = ((8.0, f"{LEADER_REFUSED}, for_s = 5.0"), (9.0, f'kind = "state_outage", for_s = {cancel_s}'))
    zone_cut = ((5.0, f'kind = "zone_cut", zone = "{zone}", for_s = 20.0, mode = "hold"'),)
    return [
        Variant("blip", 1.0, 0.5, cancel_s + 8),
        Variant("short", 3.0, 1.5, cancel_s + 8),
        Variant("past-the-ttl", 20.0, 8.0, cancel_s + 8),
        Variant("below-lease", 14.0, 2.0, lease_s - 2),
        Variant("above-lease", 14.0, 2.0, lease_s + 2),
        Variant("below-cancel", 14.0, 2.0, cancel_s - 2),
        Variant("back-to-back", 6.0, 1.5, 5.5, second_outage),
        Variant("restart", 14.0, 2.0, cancel_s + 8, ((8.0, LEADER_KILLED),)),
        Variant("zone", 14.0, 2.0, cancel_s + 8, zone_cut),
    ]


def day_text(variant, kept_lines):
    faults = ",\n".join(f"  {{ at_s = {FIRST_FAULT_S + at_s}, {fault} }}" for at_s, fault in variant.faults())
    return f'name = "gap-{variant.name}"\n' + "\n".join(kept_lines) + f"\nfaults = [\n{faults},\n]\n"


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    day_file, site_file, out_directory = map(pathlib.Path, sys.argv[1:])
    site = tomllib.loads(site_file.read_text())
    workers, zone = site["workers"], site["nodes"]["zones"][-1]
    dropped_prefixes = ("faults", "name", "#")
    kept_lines = [line for line in day_file.read_text().splitlines() if not line.startswith(dropped_prefixes)]
    out_directory.mkdir(parents=True, exist_ok=True)
    for variant in variants(workers["lease_s"], workers["cancel_s"], zone):
        path = out_directory / f"{site_file.stem}-gap-{variant.name}.toml"
        path.write_text(day_text(variant, kept_lines))
        print(path)


if __name__ == "__main__":
    main()
