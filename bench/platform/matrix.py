#!/usr/bin/env python3
"""Runs one short day for each kind of fault, with the fault twice, and the days of deploy/days.

Usage: matrix.py BENCH SITE [--jobs N] [--only TEXT]
BENCH is the users' bench program, SITE one of their site files. Prints one line for each day:
broken rules, share of credit, worth. The days are written to a temporary folder.
"""
import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import tempfile

# Each entry: a name and the fields of the fault other than its time.
TROUBLES = [
    ("burst", 'kind = "burst", x = 2.0, for_s = 4.0'),
    ("hot-key", 'kind = "hot_key", share = 0.4, for_s = 5.0'),
    ("hot-tenant", 'kind = "hot_tenant", x = 8.0, for_s = 6.0'),
    ("hot-tenant-small", 'kind = "hot_tenant", x = 8.0, for_s = 6.0, count = 4'),
    ("retry-abuse", 'kind = "retry_abuse", share = 0.4, x = 4.0, for_s = 5.0'),
    ("give-up", 'kind = "give_up", share = 0.4, for_s = 5.0'),
    ("give-up-late", 'kind = "give_up", share = 0.4, x = 1500.0, for_s = 5.0'),
    ("srv-crash", 'kind = "srv_crash", share = 0.3, for_s = 4.0'),
    ("srv-crash-dark", 'kind = "srv_crash", share = 0.3, for_s = 4.0, how = "dark"'),
    ("srv-crash-gone", 'kind = "srv_crash", share = 0.2, how = "gone"'),
    ("srv-grey-errors", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 0.5, how = "errors"'),
    ("srv-grey-all", 'kind = "srv_grey", share = 1.0, for_s = 4.0, x = 0.5, how = "errors all"'),
    ("srv-grey-shed", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 0.5, how = "shed"'),
    ("srv-grey-busy", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 0.5, how = "busy"'),
    ("srv-grey-hang", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 0.5, how = "hang"'),
    ("srv-grey-reset", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 0.5, how = "reset"'),
    ("srv-grey-mute", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 0.5, how = "mute"'),
    ("srv-grey-slow", 'kind = "srv_grey", share = 0.4, for_s = 5.0, x = 8.0, how = "slow"'),
    ("srv-slow", 'kind = "srv_slow", share = 0.3, x = 5.0, for_s = 6.0'),
    ("release", 'kind = "release", share = 1.0, x = 1.0, gap_s = 0.8'),
    ("scale-in", 'kind = "scale_in", share = 0.4'),
    ("scale-in-spot", 'kind = "scale_in", share = 0.4, how = "spot", x = 2.0'),
    ("scale-in-reclaim", 'kind = "scale_in", how = "reclaim dry", x = 2.0, for_s = 10.0'),
    ("scale-out", 'kind = "scale_out", share = 0.4, gap_s = 3.0'),
    ("answer-lost", 'kind = "answer_lost", share = 0.8, x = 0.2, for_s = 5.0'),
    ("answer-lost-reset", 'kind = "answer_lost", share = 0.8, x = 0.2, for_s = 5.0, how = "reset"'),
    ("garble", 'kind = "garble", share = 0.8, x = 0.1, for_s = 5.0'),
    ("garble-extra", 'kind = "garble", share = 0.8, x = 0.1, for_s = 5.0, how = "extra"'),
    ("garble-extra-late", 'kind = "garble", share = 0.8, x = 0.1, for_s = 5.0, how = "extra late"'),
    ("garble-unframed", 'kind = "garble", share = 0.8, x = 0.1, for_s = 5.0, how = "unframed"'),
    ("garble-early", 'kind = "garble", share = 0.8, x = 0.1, for_s = 5.0, how = "early"'),
    ("node-kill", 'kind = "node_kill", share = 0.4, for_s = 3.0'),
    ("node-kill-power", 'kind = "node_kill", share = 0.4, for_s = 4.0, how = "power"'),
    ("node-kill-race", 'kind = "node_kill", on = "core", count = 1, how = "leader race drain"'),
    ("node-kill-meet", 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "meet drain"'),
    ("node-freeze", 'kind = "node_freeze", share = 0.4, for_s = 4.0'),
    ("node-freeze-renewed", 'kind = "node_freeze", count = 1, for_s = 4.0, how = "renewed"'),
    ("node-freeze-leader", 'kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "leader"'),
    ("node-slow", 'kind = "node_slow", share = 0.4, x = 6.0, for_s = 5.0'),
    ("roll-term", 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0'),
    ("roll-term-busy", 'kind = "roll_term", how = "busy", gap_s = 1.0'),
    ("roll-term-leader", 'kind = "roll_term", how = "leader", gap_s = 1.0'),
    ("herd-kill", 'kind = "herd_kill", share = 1.0, for_s = 1.0'),
    ("herd-kill-power", 'kind = "herd_kill", share = 1.0, for_s = 2.0, how = "power"'),
    ("replace", 'kind = "replace_core", x = 2.0'),
    ("replace-planned", 'kind = "replace_core", x = 2.0, how = "planned"'),
    ("replace-leader", 'kind = "replace_core", x = 2.0, how = "leader"'),
    ("replace-with-reuse", 'kind = "replace_with_reuse", share = 0.3'),
    ("replace-with-reuse-drain", 'kind = "replace_with_reuse", share = 0.3, how = "drain"'),
    ("replace-with-reuse-dark", 'kind = "replace_with_reuse", share = 0.3, how = "dark"'),
    ("kill-leader", 'kind = "kill_leader", for_s = 3.0, how = "kill"'),
    ("kill-leader-freeze", 'kind = "kill_leader", for_s = 5.0, how = "freeze"'),
    ("kill-leader-cut", 'kind = "kill_leader", for_s = 5.0, how = "cut"'),
    ("clock-back", 'kind = "clock_step", share = 0.4, x = 3000.0, for_s = 6.0, how = "back"'),
    ("clock-ahead", 'kind = "clock_step", share = 0.4, x = 3000.0, for_s = 6.0, how = "ahead"'),
    ("hup", 'kind = "hup", share = 1.0, gap_s = 2.0'),
    ("reset-conns", 'kind = "reset_conns", share = 0.6, x = 0.8'),
    ("zone-cut-drop", 'kind = "zone_cut", for_s = 6.0, how = "drop"'),
    ("zone-cut-reset", 'kind = "zone_cut", for_s = 6.0, how = "reset"'),
    ("core-cut", 'kind = "core_cut", count = 2, for_s = 6.0'),
    ("core-cut-refuse", 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader refuse"'),
    ("core-cut-all", 'kind = "core_cut", count = 1, for_s = 6.0, how = "all"'),
    ("core-cut-one-way", 'kind = "core_cut", count = 1, for_s = 6.0, how = "one_way"'),
    ("node-cut", 'kind = "node_cut", share = 0.4, for_s = 6.0, how = "meet"'),
    ("node-cut-all", 'kind = "node_cut", share = 0.3, for_s = 6.0, how = "all"'),
    ("srv-cut", 'kind = "srv_cut", share = 0.3, for_s = 6.0'),
    ("srv-cut-fronts", 'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "fronts"'),
    ("srv-cut-reborn", 'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "reborn"'),
    ("lossy", 'kind = "lossy", x = 0.05, for_s = 6.0'),
    ("cloud-slow", 'kind = "cloud_slow", x = 80.0, for_s = 6.0'),
    ("cloud-down", 'kind = "cloud_down", for_s = 6.0, how = "silent"'),
    ("cloud-late", 'kind = "applied_late", x = 0.5, for_s = 6.0, how = "cloud"'),
    ("store-silent", 'kind = "platform_down", for_s = 6.0, how = "silent"'),
    ("store-busy", 'kind = "platform_down", for_s = 6.0, how = "busy"'),
    ("store-reset-lapse", 'kind = "platform_down", for_s = 6.0, how = "reset lapse"'),
    ("store-silent-lapse", 'kind = "platform_down", for_s = 6.0, how = "silent lapse"'),
    ("store-nodes-revoke", 'kind = "platform_down", share = 0.4, for_s = 8.0, how = "nodes many revoke meet drain"'),
    ("store-nodes-silent", 'kind = "platform_down", share = 0.4, for_s = 8.0, how = "nodes silent revoke meet drain"'),
    ("store-nodes-reset", 'kind = "platform_down", share = 0.4, for_s = 8.0, how = "nodes reset revoke meet"'),
    ("store-leader-busy", 'kind = "platform_down", count = 1, for_s = 7.0, how = "nodes leader busy"'),
    ("store-slow", 'kind = "platform_slow", x = 90.0, for_s = 6.0'),
    ("store-lost", 'kind = "platform_lost", x = 0.5, for_s = 6.0'),
    ("store-lost-late", 'kind = "platform_lost", x = 0.5, for_s = 6.0, how = "late"'),
    ("store-compact", 'kind = "platform_compact", x = 6.0, for_s = 8.0, how = "drain"'),
    ("config-storm", 'kind = "config_storm", for_s = 5.0, gap_s = 0.2'),
    ("big-config", 'kind = "big_config", count = 350'),
    ("revoke", 'kind = "revoke", count = 3, gap_s = 0.5'),
    ("revoke-last", 'kind = "revoke", count = 2, gap_s = 0.5, how = "last"'),
    ("after-ack-kill", 'kind = "after_ack_kill", count = 2'),
]
# Days on which several faults interact; searches for failures run them on every site, too.
HARD_DAYS = pathlib.Path(__file__).parents[2] / "deploy" / "days"
LENGTH_S = 34.0


def field(text, name):
    return re.search(rf"(?m)^{name} = (.*)$", text).group(1)


def base_day(site_text):
    """Returns the text and the traffic of the site's first day with faults."""
    day = re.split(r"(?m)^\[\[day\]\]\n", site_text)[2]
    traffic = re.search(r"(?ms)^traffic = \[\n.*?^\]\n", day).group(0)
    return day, traffic


def write_day(folder, name, faults, day, traffic):
    text = f'name = "{name}"\nslot = "trouble"\nseed = 4711\nlength_s = {LENGTH_S}\n'
    text += f'one = {field(day, "one")}\nzero = {field(day, "zero")}\n'
    text += "goal = { floor = 0.0 }\nlabels = []\nplan = []\nfaults = [\n"
    text += "".join(f"  {{ {fault} }},\n" for fault in faults) + "]\n" + traffic
    path = folder / f"{name}.toml"
    path.write_text(text)
    return path


def days(folder, site_text):
    day, traffic = base_day(site_text)
    for name, trouble in TROUBLES:
        yield write_day(folder, name, [f"at = 2.0, {trouble}", f"at = 17.0, {trouble}"], day, traffic)
    yield from sorted(HARD_DAYS.glob("*.toml"))


def play(bench, site, path):
    command = [bench, "run", site, str(path), "--why", f"Matrix of troubles: {path.stem}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    found = [line for line in done.stdout.splitlines() if line.startswith(path.stem)]
    detail = [line for line in done.stdout.splitlines() if line.startswith(("short of", "rules broken"))]
    return path.stem, (found or [done.stdout[-300:] + done.stderr[-300:]])[0], detail


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    site_text = pathlib.Path(arguments.site).read_text()
    with tempfile.TemporaryDirectory() as name:
        paths = [path for path in days(pathlib.Path(name), site_text) if arguments.only in path.stem]
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            for stem, line, detail in pool.map(
                    lambda path: play(arguments.bench, arguments.site, path), paths):
                print(line)
                for extra in detail:
                    print("    ", extra)


if __name__ == "__main__":
    main()
