#!/usr/bin/env python3
"""Writes a site file of another size: multiplies machines, arrivals, and the guarantees and limits of teams by N.

    bench/scale_site.py SITE.toml N OUT.toml [--limits] [--share FACTOR] [--back SECONDS] [--day DAY.toml]...

The controllers' share of a processor is kept, or multiplied by --share. --limits also multiplies the controllers' memory and
sockets, and the rate limits of the key-value store and the cloud. --back sets the delay in seconds after which a controller that
ended is started again. --day also writes a day of bench/days into the folder of OUT, for `fleetbench run`: counts of machines
are multiplied, and the word ZONE is replaced by the last zone of the site. The wire file in the folder of SITE is copied to that
of OUT. OUT must be outside the repository, because runs of scaled sites are not standard days.
"""
import argparse
import dataclasses
import pathlib
import re
import shutil
import sys
import tomllib

# The fields that are multiplied, by table. The script replaces numbers in the text of the file, so that all else stays as its
# owners wrote it.
SIZE_FIELDS = {
    "capacity": {"count": int, "spot": int},
    "machines": {"count": int},
    "teams": {"cpus": float, "cpus_max": float, "gpus": float, "gpus_max": float},
    "jobs": {"initial": int},
}
LIMIT_FIELDS = {
    "nodes": {"memory_mb": float, "max_connections": int},
    "state": {"rps": float, "write_rps": float},
    "cloud": {"rps": float},
}
TABLE_HEADER = re.compile(r"\[+([\w.]+)\]+\s*$")
NUMBER_FIELD = re.compile(r"(\w+) = ([-\d.]+)\s*$")
ARRIVAL_RATE = re.compile(r"(rate = )([\d.]+)")
MACHINE_FAULT_COUNT = re.compile(r'(kind = "(?:machine_\w+|spot_\w+)"[^}]*?\bcount = )(\d+)')


@dataclasses.dataclass
class Scaling:
    factor: float
    cpu_share_factor: float
    restart_delay_s: float | None
    fields: dict[str, dict[str, type]]  # the fields that are multiplied by `factor`, by table

    def number(self, table, name, text):
        """Returns the new text of a field's number, or None if it is kept."""
        if table == "nodes" and name == "restart_delay_s" and self.restart_delay_s is not None:
            return str(self.restart_delay_s)
        if table == "nodes" and name == "cpu_share":
            return multiplied(text, self.cpu_share_factor, float)
        kind = self.fields.get(table, {}).get(name)
        return multiplied(text, self.factor, kind) if kind else None


def multiplied(text, factor, kind):
    value = kind(text) * factor
    return str(round(value)) if kind is int else repr(round(value, 6))


def scale_fault_counts(text, factor):
    return MACHINE_FAULT_COUNT.sub(lambda match: match[1] + multiplied(match[2], factor, int), text)


def scale_site(lines, scaling):
    table = ""
    for line in lines:
        if header := TABLE_HEADER.match(line):
            table = header[1]
        elif field := NUMBER_FIELD.match(line):
            if number := scaling.number(table, field[1], field[2]):
                line = f"{field[1]} = {number}\n"
        elif table == "jobs" and line.startswith("arrivals"):
            line = ARRIVAL_RATE.sub(lambda match: match[1] + multiplied(match[2], scaling.factor, float), line)
        yield scale_fault_counts(line, scaling.factor)


def write_day(day, out, factor, zone):
    text = scale_fault_counts(day.read_text(), factor)
    out.with_name(f"{out.stem}-{day.name}").write_text(text.replace('"ZONE"', f'"{zone}"'))


def copy_wire_file(site, out):
    wire, copy = site.with_name("wire.json"), out.with_name("wire.json")
    if wire.exists() and wire.resolve() != copy.resolve():
        shutil.copyfile(wire, copy)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("factor", metavar="N", type=float)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--limits", action="store_true")
    parser.add_argument("--share", dest="cpu_share_factor", metavar="FACTOR", type=float, default=1.0,
                        help="factor for the controllers' share of a processor")
    parser.add_argument("--back", dest="restart_delay_s", metavar="SECONDS", type=float,
                        help="seconds until an ended controller is started again")
    parser.add_argument("--day", dest="days", metavar="DAY.toml", type=pathlib.Path, action="append", default=[])
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    site, out = arguments.site, arguments.out
    repository = pathlib.Path(__file__).resolve().parent.parent
    if repository in out.resolve().parents:
        sys.exit("the scaled site must be written outside the repository")
    fields = SIZE_FIELDS | (LIMIT_FIELDS if arguments.limits else {})
    scaling = Scaling(arguments.factor, arguments.cpu_share_factor, arguments.restart_delay_s, fields)
    with site.open() as lines:
        text = "".join(scale_site(lines, scaling))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(text)
    zone = tomllib.loads(text)["nodes"]["zones"][-1]
    for day in arguments.days:
        write_day(day, out, arguments.factor, zone)
    copy_wire_file(site, out)


if __name__ == "__main__":
    main()
