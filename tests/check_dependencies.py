#!/usr/bin/env python3
"""Checks that the packages of src/ depend on each other as CMakeLists.txt declares, and without a circle.

    tests/check_dependencies.py [ROOT]

A package may include its own headers and those of packages that it declares, directly or through others. Ends with 1
and names each include that breaks this, and each declared circle.
"""
import pathlib
import re
import sys

DECLARATION = re.compile(r"^package\((\w+)([^)]*)\)", re.MULTILINE)
INCLUDE = re.compile(r'^#include "(\w+)/', re.MULTILINE)


def declared(cmake_text):
    """Package -> the packages that it names."""
    return {
        match[1]: {name.removesuffix("_pkg") for name in match[2].split() if name.endswith("_pkg")}
        for match in DECLARATION.finditer(cmake_text)
    }


def reachable(package, packages):
    """All packages below `package`, itself included if it is part of a circle."""
    seen, todo = set(), list(packages[package])
    while todo:
        name = todo.pop()
        if name in seen:
            continue
        seen.add(name)
        todo.extend(packages.get(name, ()))
    return seen


def problems(root):
    packages = declared((root / "CMakeLists.txt").read_text())
    found = [f"package {name} depends on itself" for name in packages if name in reachable(name, packages)]
    for source in sorted((root / "src").glob("*/*.?pp")):
        package = source.parent.name
        if package not in packages:
            found.append(f"{source.relative_to(root)}: package {package} is not declared in CMakeLists.txt")
            continue
        allowed = reachable(package, packages) | {package}
        for included in INCLUDE.findall(source.read_text()):
            # Generated headers (config/operator.pb.h) belong to the package that they are named after.
            if included not in allowed:
                found.append(f"{source.relative_to(root)}: includes {included}/, which {package} does not declare")
    return found


def main():
    root = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else pathlib.Path(__file__).resolve().parent.parent
    found = problems(root)
    for line in found:
        print(line, file=sys.stderr)
    if not found:
        print("dependencies: as declared, no circle")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
