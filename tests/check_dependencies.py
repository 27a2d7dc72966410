#!/usr/bin/env python3
"""Checks that the packages of src/ depend on each other as CMakeLists.txt declares, and that there is no cycle.

    tests/check_dependencies.py [ROOT]

A package may include its own headers and those of the packages that it depends on, directly or through others. Prints each
include that breaks this rule and each package in a cycle of declarations, and exits with 1 if there are any.
"""
import pathlib
import re
import sys

DECLARATION = re.compile(r"^package\((\w+)([^)]*)\)", re.MULTILINE)
INCLUDE = re.compile(r'^#include "(\w+)/', re.MULTILINE)


def declared_dependencies(cmake_text):
    """Returns the packages that each package names in its declaration."""
    return {
        match[1]: {name.removesuffix("_pkg") for name in match[2].split() if name.endswith("_pkg")}
        for match in DECLARATION.finditer(cmake_text)
    }


def reachable(package, packages):
    """Returns all direct and indirect dependencies of `package`: `package` too if it is part of a cycle."""
    seen, pending = set(), list(packages[package])
    while pending:
        name = pending.pop()
        if name in seen:
            continue
        seen.add(name)
        pending.extend(packages.get(name, ()))
    return seen


def violations(root):
    """Returns a line for each violation of the rules below `root`."""
    packages = declared_dependencies((root / "CMakeLists.txt").read_text())
    found = [f"package {name} depends on itself" for name in packages if name in reachable(name, packages)]
    for source in sorted((root / "src").glob("*/*.?pp")):
        package = source.parent.name
        if package not in packages:
            found.append(f"{source.relative_to(root)}: package {package} is not declared in CMakeLists.txt")
            continue
        allowed = reachable(package, packages) | {package}
        for included in INCLUDE.findall(source.read_text()):
            # Generated headers (config/operator.pb.h) belong to the package whose name their folder has.
            if included not in allowed:
                found.append(f"{source.relative_to(root)}: includes {included}/, which {package} does not declare")
    return found


def main():
    root = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else pathlib.Path(__file__).resolve().parent.parent
    found = violations(root)
    for line in found:
        print(line, file=sys.stderr)
    if not found:
        print("dependencies: all are declared, and there is no cycle")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
