"""Plays days of the project's own on a deployment and on changed copies of it.

    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER singles
    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER mixes --count 40 --seed 1000
    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER repeats --only core
    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER closings --only replace_core
    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER worst
    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER worst-pairs --count 3
    python3 scripts/days --bench BENCH --site SITE.toml --scratch FOLDER deployments

Each row names a day, its seed, its gate, its worth and what it broke. The day's file and the
bench's output stay in the scratch folder, so that a day can be played again by hand.
"""

import argparse
import statistics
import sys
import tomllib
from pathlib import Path

import deployments
import faults
import worst
from player import HEADING, Player, Result

WORTH_FAR_BELOW = 0.15
"""A day this far below the median worth is listed as weak."""

DAYS_OF_DEPLOYMENT = 3
"""Days played on each further deployment: a quiet one, the others with faults."""

REPEATS = 3
REPEAT_GAP_S = 8.5
"""How often, and how far apart, the fault of a repeated day comes."""


def main() -> int:
    arguments = _parse_arguments()
    results = _deployment_results(arguments) if arguments.what == "deployments" else _site_results(arguments)
    _print_summary(results)
    return 1 if any(result.is_broken() for result in results) else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="days", description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["singles", "closings", "mixes", "repeats", "worst", "worst-pairs",
                                         "deployments"])
    parser.add_argument("--bench", required=True, help="path of the bench program")
    parser.add_argument("--site", required=True, type=Path, help="site file of the deployment")
    parser.add_argument("--scratch", required=True, type=Path, help="folder for day files, site files and output")
    parser.add_argument("--only", default="",
                        help="play only days, or deployments, whose name contains this text; in mixes, one fault's")
    parser.add_argument("--seed", type=int, default=1, help="seed of the first day")
    parser.add_argument("--count", type=int, default=20, help="number of mixes, or of days for each pair")
    parser.add_argument("--size", type=int, default=2, help="faults in one mix")
    parser.add_argument("--spread", type=float, default=3.0, help="seconds over which the faults of a mix begin")
    parser.add_argument("--jobs", type=int, default=2, help="days played at once")
    parser.add_argument("--log", default="", help="machines whose output is kept, or all")
    parser.add_argument("--why", default="days of our own", help="why the days are played")
    return parser.parse_args()


def _site_results(arguments: argparse.Namespace) -> list[Result]:
    site = tomllib.loads(arguments.site.read_text())
    player = _player(arguments, arguments.site, site, arguments.scratch / arguments.site.stem)
    if arguments.what == "mixes":
        return player.play_all(_mixes(arguments, site))
    if arguments.what == "closings":
        return player.play_all(_closings(arguments, site))
    if arguments.what == "repeats":
        return player.play_all(_repeats(arguments, site))
    if arguments.what == "worst":
        return player.play_all([day for day in worst.alone(arguments.seed) if arguments.only in day.name])
    if arguments.what == "worst-pairs":
        days = worst.pairs(arguments.seed, arguments.count)
        return player.play_all([day for day in days if arguments.only in day.name])
    return player.play_all(_singles(arguments, site))


def _singles(arguments: argparse.Namespace, site: dict) -> list[faults.Day]:
    days = [faults.quiet_day(arguments.seed)]
    days += [faults.single_day(entry, arguments.seed + index) for index, entry in enumerate(_entries(site))]
    days += [faults.closing_day(closing, arguments.seed + index) for index, closing in enumerate(faults.closings())]
    return [day for day in days if arguments.only in day.name]


def _mixes(arguments: argparse.Namespace, site: dict) -> list[faults.Day]:
    entries = _entries(site)
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    return [faults.mixed_day(entries, seed, arguments.size, arguments.spread, arguments.only) for seed in seeds]


def _closings(arguments: argparse.Namespace, site: dict) -> list[faults.Day]:
    days = []
    for entry in _entries(site):
        if arguments.only in entry.label():
            days += faults.closed_days(entry, arguments.seed + len(days))
    return days


def _repeats(arguments: argparse.Namespace, site: dict) -> list[faults.Day]:
    days = [
        faults.repeated_day(entry, arguments.seed + index, REPEATS, REPEAT_GAP_S)
        for index, entry in enumerate(_entries(site))
    ]
    return [day for day in days if arguments.only in day.name]


def _entries(site: dict) -> list[faults.Entry]:
    classes = [one["name"] for one in site["classes"]]
    services = [one["name"] for one in site["services"]]
    return faults.single_entries(classes, services)


def _deployment_results(arguments: argparse.Namespace) -> list[Result]:
    site = tomllib.loads(arguments.site.read_text())
    results = []
    for index, name in enumerate(deployments.CHANGES):
        if arguments.only not in name:
            continue
        seed = arguments.seed + index * DAYS_OF_DEPLOYMENT
        path = deployments.write_site(site, arguments.site, name, arguments.scratch)
        changed = tomllib.loads(path.read_text())
        entries = _entries(changed)
        days = [faults.quiet_day(seed)]
        days += [faults.mixed_day(entries, seed + later, 3, 4.0) for later in range(1, DAYS_OF_DEPLOYMENT)]
        results += _player(arguments, path, changed, arguments.scratch / path.stem).play_all(days)
    return results


def _player(arguments: argparse.Namespace, path: Path, site: dict, scratch: Path) -> Player:
    return Player(arguments.bench, path, site, scratch, arguments.why, arguments.jobs, arguments.log)


def _print_summary(results: list[Result]) -> None:
    if not results:
        print("no day has such a name", file=sys.stderr)
        return
    broken = [result for result in results if result.is_broken()]
    median = statistics.median(result.worth for result in results)
    weak = [result for result in results if result.worth < median - WORTH_FAR_BELOW and result not in broken]
    print(f"\n{len(results)} days, {len(broken)} failed the gate, median worth {median:.3f}, {len(weak)} far below it")
    for title, chosen in [("failed", broken), ("far below the median", weak)]:
        if not chosen:
            continue
        print(f"\n{title}\n{HEADING}")
        for result in chosen:
            print(f"{result.row()}\n    {result.day_file}")


if __name__ == "__main__":
    sys.exit(main())
