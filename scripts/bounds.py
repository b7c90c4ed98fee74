#!/usr/bin/env python3
"""What any scheduler could reach on a day, from the day's own demand: scripts/bounds.py SITE.toml DAY

Reads a site file of the bench. These are bounds by argument, not simulations:
- demand: mean CPUs that batch classes ask for, against the spot CPUs that there are;
- submit: no submission can be made durable while the state service is down, nor while all nodes are;
- useful: every machine is paid for while it boots, and the least that the services' machines cost.
"""
import sys
import tomllib


def lognormal_mean(d):
    """Mean of a distribution given by median and p95, cut at max only for what lies beyond."""
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
    ordinary = sum(c["count"] * types[c["type"]]["cpus"] for c in site["capacity"])
    length = site["duration_s"]
    faults = day.get("faults", [])
    print(f"{site['name']} {day['name']}: {spot:.0f} spot CPUs, {ordinary:.0f} ordinary ones")
    batch = services = 0.0
    for job in site["jobs"]:
        tasks, run = lognormal_mean(job["tasks"]), lognormal_mean(job["run_s"])
        rate = job["arrivals"]["rate"]
        for f in faults:
            if f["kind"] == "job_burst" and f["class"] == job["name"]:
                rate *= 1 + (f["factor"] - 1) * f["for_s"] / length
        first = job["initial"] * tasks * job["cpus"]
        if job["kind"] == "service":
            stay = min(run, length)
            cpus = first + rate * tasks * job["cpus"] * min(stay, length / 2)
            services += cpus
            print(f"  {job['name']}: about {cpus:.0f} CPUs, {first:.0f} of them at the start")
        else:
            cpus = (rate + job["initial"] / length) * tasks * run * job["cpus"]
            batch += cpus
            print(f"  {job['name']}: {cpus:.0f} CPUs on the mean, {first:.0f} at the start")
    print(f"  batch asks for {batch / spot:.2f} of the spot CPUs on the mean: past 1, tasks wait or ordinary machines are paid")
    down = sum(f["for_s"] for f in faults if f["kind"] == "state_outage")
    nodes = site["nodes"]["count"]
    crashes = [f for f in faults if f["kind"] == "node_crash"]
    dead = sum(site["nodes"]["restart_delay_s"] for f in crashes if f["count"] >= nodes)
    print(f"  submit: at least {100 * (down + dead) / length:.1f}% of the day nothing can be made durable")
    prices = [(t["boot_s"], t["cpus"], t["name"]) for t in site["machine_types"]]
    boot = min(p[0] for p in prices)
    print(f"  useful: {boot:.0f} s of boot in {length:.0f} s is {100 * boot / length:.1f}% for machines kept all day, more for others")


main()
