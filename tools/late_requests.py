#!/usr/bin/env python3
"""Tells where late streams lose their time, from the decision lines of relays.

Usage: late_requests.py LOG...   Lines of several nodes may be in one file. Lines that start with a number of seconds are
placed in time by it, others by the time of the log. Prints a table: route, streams, and the late ones by cause.

An engine reads prompts between the tokens of its other streams. A late stream is put down to the first that applies: an
attempt that failed, a wait at the node of over a third of the delay, a prompt with many unread tokens that was sent to
the same engine shortly before or meanwhile, other streams at the engine.
"""
import collections
import re
import sys

FIELDS = re.compile(r"(\w+)=(\S*)")
CLOCK = re.compile(r"(\d\d):(\d\d):(\d\d\.\d+)")
LONG_PROMPT_TOKENS = 2000
SECONDS_BEFORE = 0.5
CAUSES = ("attempt failed", "waited at the node", "long prompt beside it", "other streams at the engine")


def seconds_of(line):
    first = line.split(None, 1)[0]
    try:
        return float(first)
    except ValueError:
        clock = CLOCK.search(line)
        return None if clock is None else int(clock[1]) * 3600 + int(clock[2]) * 60 + float(clock[3])


def read(paths):
    dispatches, finishes = {}, []
    prompts = collections.defaultdict(list)
    for path in paths:
        with open(path, errors="replace") as log:
            for line in log:
                kind = re.search(r"decision=(dispatch|finish) ", line)
                time = seconds_of(line) if kind else None
                if time is None:
                    continue
                fields = dict(FIELDS.findall(line))
                if kind[1] == "dispatch":
                    dispatches.setdefault(fields["request"], []).append((time, fields))
                    if int(fields.get("unread", 0)) >= LONG_PROMPT_TOKENS:
                        prompts[fields["upstream"]].append((time, fields["request"]))
                elif "late" in fields:
                    finishes.append((time, fields))
    return dispatches, finishes, prompts


def cause_of(time, fields, dispatches, prompts):
    sent = dispatches.get(fields["request"], [])
    if len(sent) > 1 or not sent:
        return CAUSES[0]
    sent_at, dispatch = sent[0]
    first = int(fields["first_ms"]) if fields["first_ms"].isdigit() else 0
    if fields["late"] == "first" and int(dispatch["wait_ms"]) * 3 > first:
        return CAUSES[1]
    until = sent_at + first / 1000 if fields["late"] == "first" else time
    beside = any(sent_at - SECONDS_BEFORE <= at <= until and request != fields["request"]
                 for at, request in prompts[dispatch["upstream"]])
    return CAUSES[2] if beside else CAUSES[3]


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    dispatches, finishes, prompts = read(sys.argv[1:])
    streams = collections.Counter()
    late = collections.Counter()
    for time, fields in finishes:
        if fields["outcome"] != "answered":
            continue
        streams[fields["route"]] += 1
        if fields["late"] != "none":
            late[fields["route"], fields["late"], cause_of(time, fields, dispatches, prompts)] += 1
    print("| route | streams | late by | cause | late | share |\n|---|---|---|---|---|---|")
    for (route, kind, cause), count in sorted(late.items()):
        print(f"| {route} | {streams[route]} | {'first event' if kind == 'first' else 'pause'} | {cause} | {count} "
              f"| {count / streams[route]:.3f} |")


if __name__ == "__main__":
    main()
