#!/usr/bin/env python3
"""Runs days of a site with several seeds and shows the parts and losses of their worth.

Usage: worth.py BENCH SITE --why TEXT [--days NAME,...] [--seeds N,...] [--jobs N]
BENCH is the users' bench program, SITE one of their site files; all of its days are the default.
Prints one line for each day: worth (the mean over the seeds, and each value), its parts, the shares
of late, refused and failed requests, and the prices that cost the most. The last line is the mean
over the days with faults.
"""
import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import tempfile

PARTS = ("whole day", "worst windows", "worst class", "worst zone")
WORST_WINDOWS = 4
PRICES = {
    "seconds of servers ordered": "upstreams",
    "machine-seconds": "VMs",
    "cloud calls": "calls",
    "1,000 tokens of shared parts read again": "read again",
    "new connections to servers": "connections",
    "GB of prompt memory moved": "moved",
}


def play(bench, site, day, seed, why):
    """Returns the report of one run, or the output of the bench if there is no report."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, day, "--seed", str(seed), "--report", str(report), "--why", why]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if not report.exists():
            return {"error": done.stdout[-300:] + done.stderr[-300:]}
        return json.loads(report.read_text())


def share(report, name):
    """Returns the share of the requests with the given outcome."""
    return report["all"][name] / max(1, report["all"]["n"])


def mean(reports, read):
    return statistics.mean(read(report) for report in reports)


def line(day, reports):
    worths = [report["G"] for report in reports]
    text = f"{day:12} {statistics.mean(worths):6.3f} ({' '.join(f'{worth:.3f}' for worth in worths)})"
    for part in PARTS:
        value = mean(reports, lambda report: dict((p[0], p[2]) for p in report["parts"])[part])
        text += f" | {part} {value:.3f}"
    for name in ("late", "refused", "failed"):
        text += f" | {name} {mean(reports, lambda report: share(report, name)):.3f}"
    for price, short in PRICES.items():
        cost = mean(reports, lambda report: dict((p[0], p[2]) for p in report["prices"]).get(price, 0))
        text += f" | {short} -{cost:.3f}"
    return text


def worst(report):
    """Returns the worst windows of a run as second:worth."""
    windows = sorted(report["windows"], key=lambda window: window["worth"])[:WORST_WINDOWS]
    return " ".join(f"{window['name']}:{window['worth']:.2f}" for window in windows)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    text = pathlib.Path(arguments.site).read_text()
    days = re.findall(r'(?m)^\[\[day\]\]\nname = "([^"]+)"', text)
    if arguments.days:
        days = arguments.days.split(",")
    subprocess.run([arguments.bench, "build"], capture_output=True, check=True)
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    plays = [(day, seed) for day in days for seed in seeds]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        reports = list(pool.map(lambda item: play(arguments.bench, arguments.site, *item,
                                                  arguments.why), plays))
    troubled = []
    for day in days:
        own = [report for (name, _), report in zip(plays, reports) if name == day]
        for report in own:
            for rule, count in report.get("breaks", {}).items():
                print(f"{day}: {rule} broken {count} times")
            if "error" in report:
                print(f"{day}: {report['error']}")
        own = [report for report in own if "error" not in report]
        if not own:
            continue
        print(line(day, own))
        print(f"{'':12} worst windows by seed: {'; '.join(worst(report) for report in own)}")
        if not day.startswith("quiet"):
            troubled.append(statistics.mean(report["G"] for report in own))
    if troubled:
        print(f"with trouble {statistics.mean(troubled):.3f}")


if __name__ == "__main__":
    main()
