#!/usr/bin/env python3
"""Checks that docs/ERRORS.md lists exactly the result codes of the code, and that pages name only files that exist."""
import pathlib
import re
import sys


def code_rows():
    numbers = dict(re.findall(r"^\s+(\w+) = (\d+),", pathlib.Path("core/result_code.h").read_text(), re.MULTILINE))
    rows = re.findall(r'ResultCode::(\w+), "(\w+)", (\d+)', pathlib.Path("core/result_code.cpp").read_text())
    return {(numbers[code], name, status) for code, name, status in rows}


def documented_rows():
    text = pathlib.Path("docs/ERRORS.md").read_text()
    return set(re.findall(r"^\| (\d+) \| `(\w+)` \| (\d+) \|", text, re.MULTILINE))


def missing_files():
    faults = []
    for page in [pathlib.Path("README.md"), *sorted(pathlib.Path("docs").glob("**/*.md"))]:
        for name in re.findall(r"(?<![\w/.-])(?:docs|tools|core|servers|drivers|platform|main|development|tests)/[\w/.-]+\w", page.read_text()):
            if not pathlib.Path(name).exists():
                faults.append(f"{page}: {name} does not exist")
    return faults


def main():
    faults = [f"docs/ERRORS.md and core/result_code.cpp differ: {row}" for row in sorted(code_rows() ^ documented_rows())]
    faults += missing_files()
    print("\n".join(faults), end="\n" if faults else "")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
