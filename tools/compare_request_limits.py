#!/usr/bin/env python3
"""Compares ways to divide an upstream's request limit among nodes, with requests that arrive at random.

For each fleet, demand and limit: the share of the limit that is used, and the most requests in any four seconds.
"""
import math
import random

WINDOW_S = 4.0
SLOT_LIFETIME_S = 1.5
REPORT_DECAY_S = 2.0


def arrivals(nodes, demand, uneven, time_s):
    weights = [1.0 / (i + 1) if uneven else 1.0 for i in range(nodes)]
    events = []
    for node, weight in enumerate(weights):
        rate = demand * weight / sum(weights)
        time = random.expovariate(rate)
        while time < time_s:
            events.append((time, node))
            time += random.expovariate(rate)
    return sorted(events)


def most_in_window(times):
    first, most = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def buckets(events, nodes, rate_of):
    """A bucket of one request for each node, filled at the node's rate."""
    filled, filled_at, sent = [random.random() for _ in range(nodes)], [0.0] * nodes, []
    for time, node in events:
        filled[node] = min(1.0, filled[node] + (time - filled_at[node]) * rate_of(time, node))
        filled_at[node] = time
        if filled[node] >= 1.0:
            filled[node] -= 1.0
            sent.append(time)
    return sent


def fixed_parts(events, nodes, limit):
    return buckets(events, nodes, lambda time, node: limit / nodes)


def owner(events, _, limit):
    return buckets([(time, 0) for time, _ in events], 1, lambda time, node: limit)


def demand_shares(events, nodes, limit):
    demand, updated, total = [0.0] * nodes, [0.0] * nodes, [1.0, 0.0]

    def rate_of(time, node):
        demand[node] = demand[node] * math.exp((updated[node] - time) / REPORT_DECAY_S) + 1.0
        updated[node] = time
        if time >= total[1]:  # totals are as old as a report
            total[0] = sum(d * math.exp((u - time) / REPORT_DECAY_S) for d, u in zip(demand, updated))
            total[1] = time + 0.4
        return limit * demand[node] / max(total[0], 1.0)

    return buckets(events, nodes, rate_of)


def slots(events, nodes, limit):
    used, sent = {}, []
    for time, node in events:
        first = max(used.get(node, -1), math.floor((time - SLOT_LIFETIME_S) * limit)) + 1
        slot = first + (node - first) % nodes
        if slot <= math.floor(time * limit):
            used[node] = slot
            sent.append(time)
    return sent


def main():
    random.seed(1)
    ways = (fixed_parts, owner, demand_shares, slots)
    print("nodes demand limit demand_is allowed", *(way.__name__ for way in ways))
    for nodes, demand in ((9, 28.0), (76, 230.0), (300, 4400.0)):
        for limit in (1.0, 2.9, 20.0):
            for uneven in (False, True):
                time_s = 60.0 if nodes > 100 else 200.0
                events = arrivals(nodes, demand, uneven, time_s)
                results = []
                for way in ways:
                    sent = way(events, nodes, limit)
                    results.append(f"{len(sent) / (limit * time_s):.2f}/{most_in_window(sent)}")
                print(nodes, demand, limit, "uneven" if uneven else "even", int(6 * limit + 5), *results)


if __name__ == "__main__":
    main()
