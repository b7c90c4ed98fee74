#!/usr/bin/env python3
"""Prints bounds on what any scheduler can achieve on a day: scripts/bounds.py SITE.toml DAY

Reads a site file of the test bench, which describes machines, jobs and the faults of each day. The bounds are derived
from these figures and not by simulation:
- demand: the mean number of CPUs that batch classes request, relative to the available spot CPUs;
- submit: no submission can be made durable while the state service is down, nor while all nodes are down;
- useful: every machine is paid for while it boots, and the machines of services have a minimum cost.
"""
import sys
import tomllib


def lognormal_mean(d):
    """Returns the mean of weighted sizes, or of a log-normal distribution given by its median and 95th percentile.

    The log-normal mean is that of the untruncated distribution, limited to max, and not the mean of the distribution
    truncated at max.
    """
    import math
    if "sizes" in d:
        return sum(s * w for s, w in zip(d["sizes"], d["weights"])) / sum(d["weights"])
    sigma = math.log(d["p95"] / d["median"]) / 1.645
    return min(d["median"] * math.exp(sigma * sigma / 2), d["max"])


def main():
    site = tomllib.load(open(sys.argv[1], "rb"))
    day = next(d for d in site["day"] if d["name"] == sys.argv[2])
    types = {t["name"]: t for t in site["machine_types"]}
    spot = sum(c["spot"] * types[c["type"]]["cpus"] for c in site["capacity"])
    on_demand = sum(c["count"] * types[c["type"]]["cpus"] for c in site["capacity"])
    duration_s = site["duration_s"]
    faults = day.get("faults", [])
    print(f"{site['name']} {day['name']}: {spot:.0f} spot CPUs, {on_demand:.0f} on-demand CPUs")
    batch_cpus = service_cpus = 0.0
    for job in site["jobs"]:
        tasks, run_s = lognormal_mean(job["tasks"]), lognormal_mean(job["run_s"])
        rate = job["arrivals"]["rate"]
        for f in faults:
            if f["kind"] == "job_burst" and f["class"] == job["name"]:
                rate *= 1 + (f["factor"] - 1) * f["for_s"] / duration_s
        initial_cpus = job["initial"] * tasks * job["cpus"]
        if job["kind"] == "service":
            runtime_s = min(run_s, duration_s)
            cpus = initial_cpus + rate * tasks * job["cpus"] * min(runtime_s, duration_s / 2)
            service_cpus += cpus
            print(f"  {job['name']}: about {cpus:.0f} CPUs, {initial_cpus:.0f} of them at the start")
        else:
            cpus = (rate + job["initial"] / duration_s) * tasks * run_s * job["cpus"]
            batch_cpus += cpus
            print(f"  {job['name']}: {cpus:.0f} CPUs on average, {initial_cpus:.0f} at the start")
    print(f"  batch demand is {batch_cpus / spot:.2f} of the spot CPUs on average: above 1, tasks queue or need on-demand machines")
    state_down_s = sum(f["for_s"] for f in faults if f["kind"] == "state_outage")
    nodes = site["nodes"]["count"]
    crashes = [f for f in faults if f["kind"] == "node_crash"]
    nodes_down_s = sum(site["nodes"]["restart_delay_s"] for f in crashes if f["count"] >= nodes)
    print(f"  submit: for at least {100 * (state_down_s + nodes_down_s) / duration_s:.1f}% of the day nothing can be made durable")
    boot_times = [(t["boot_s"], t["cpus"], t["name"]) for t in site["machine_types"]]
    boot_s = min(p[0] for p in boot_times)
    print(f"  useful: {boot_s:.0f} s of boot time in {duration_s:.0f} s is {100 * boot_s / duration_s:.1f}% for machines kept all day, more for others")


main()
