#!/usr/bin/env python3
"""Checks that packages include only lower layers, and other packages only through their one public header."""
import pathlib
import re
import subprocess
import sys

LAYERS = {"core": 0, "servers": 1, "drivers": 2, "platform": 3, "main": 4, "development": 5, "tests": 6}
INCLUDE = re.compile(r'^#include "([^"]+)"', re.MULTILINE)


def package_of(path):
    parts = path.split("/")
    return parts[0] if parts[0] in ("core", "platform") else "/".join(parts[:2])


def main():
    listing = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "*.h", "*.cpp"],
                             capture_output=True, text=True, check=True)
    faults = []
    for name in listing.stdout.split():
        if "/generated/" in name or not pathlib.Path(name).exists():
            continue
        for target in INCLUDE.findall(pathlib.Path(name).read_text()):
            mine, other = package_of(name), package_of(target)
            if other.split("/")[0] not in LAYERS:
                continue
            if LAYERS[other.split("/")[0]] > LAYERS[mine.split("/")[0]]:
                faults.append(f"{name}: includes {target} of a higher layer")
            public = f"{other}/{other.split('/')[-1]}.h"
            same_tree = name.startswith("tests/") and name.startswith("tests/" + other)
            if mine != other and target != public and not same_tree and not target.startswith("tests/"):
                faults.append(f"{name}: includes {target}, but the public header of {other} is {public}")
    print("\n".join(faults), end="\n" if faults else "")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
