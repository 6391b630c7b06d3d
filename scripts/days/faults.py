"""Makes the days: each kind of fault alone, seeded mixes, and each closing fault."""

import random
from dataclasses import dataclass, field

TROUBLE_START_S = 8.0
"""When the fault of a day begins, in seconds from the start of traffic."""

PLANNED_KINDS = {"scale_in", "roll_term", "seed_turnover", "config_change", "config_race", "bad_config", "hup",
                 "config_storm", "big_config"}
"""Kinds that stand under `plan`; all others stand under `faults`."""


@dataclass(frozen=True)
class Entry:
    """One fault of a day, as a site file writes it."""

    kind: str
    fields: dict = field(default_factory=dict)

    def at(self, seconds: float) -> dict:
        """Return the entry as a table that begins at the given time."""
        return {"at": round(seconds, 2), "kind": self.kind, **self.fields}

    def is_planned(self) -> bool:
        """Report whether the entry is planned work."""
        if self.fields.get("how") == "planned":
            return True
        return self.kind in PLANNED_KINDS and "spot" not in self.fields.get("how", "")

    def label(self) -> str:
        """Return a short name that tells the entry from its siblings."""
        parts = [self.kind] + [self.fields.get(name, "") for name in ["on", "class", "service", "how"]]
        return "-".join(part.replace(" ", "-") for part in parts if part)


@dataclass(frozen=True)
class Day:
    """One day to play: its faults with their times, and how it closes."""

    name: str
    seed: int
    plan: list
    faults: list
    closing: dict | None = None


def single_entries(classes: list[str], services: list[str]) -> list[Entry]:
    """Return each kind of fault in each of its variants."""
    return (
        _client_entries(classes)
        + _searcher_entries(services)
        + _machine_entries()
        + _core_entries()
        + _disk_and_clock_entries()
        + _configuration_entries()
    )


def _client_entries(classes: list[str]) -> list[Entry]:
    entries = [Entry("give_up", {"share": 0.35, "for_s": 8.0})]
    for name in classes:
        entries.append(Entry("burst", {"class": name, "x": 3.0, "for_s": 5.0}))
        entries.append(Entry("poison", {"class": name, "share": 0.3, "for_s": 5.0}))
    entries.append(Entry("burst", {"x": 2.0, "for_s": 4.0}))
    return entries


def _searcher_entries(services: list[str]) -> list[Entry]:
    entries = []
    for how in ["", "dark", "gone", "dark across", "gone across", "dark all"]:
        entries.append(Entry("srv_crash", {"share": 0.15, "for_s": 4.5, "how": how}))
    for how in ["", "across", "all"]:
        entries.append(Entry("srv_slow", {"share": 0.17, "x": 6.0, "for_s": 7.0, "how": how}))
    for how in ["errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "errors all", "hang all"]:
        entries.append(Entry("srv_grey", {"share": 0.15, "x": 1.0, "for_s": 7.0, "how": how}))
    for how in ["", "spot", "across", "spot across"]:
        entries.append(Entry("scale_in", {"share": 0.15, "how": how}))
    for how in ["orders", "cloud", "grants", "all"]:
        entries.append(Entry("applied_late", {"x": 0.3, "for_s": 8.0, "how": how}))
    for service in services:
        for how in ["servers", "servers one_way", "servers reset", "servers refuse"]:
            entries.append(Entry("node_cut", {"share": 0.2, "for_s": 6.0, "how": how, "service": service}))
    return entries


def _machine_entries() -> list[Entry]:
    entries = []
    for how in ["", "power", "power meet", "power race", "hard", "drain"]:
        entries.append(Entry("node_kill", {"on": "front", "share": 0.3, "for_s": 3.0, "how": how}))
    for how in ["", "meet", "race", "drain"]:
        entries.append(Entry("node_freeze", {"on": "front", "share": 0.3, "for_s": 4.0, "how": how}))
    for how in ["", "one_way", "reset", "refuse", "meet", "race", "one_way meet"]:
        entries.append(Entry("node_cut", {"share": 0.3, "for_s": 5.5, "how": how}))
    for how in ["", "busy", "remove", "remove busy", "drain", "meet"]:
        entries.append(Entry("roll_term", {"on": "front", "share": _share_that_stops(how), "gap_s": 1.3, "how": how}))
    for how in ["", "power", "taken power"]:
        entries.append(Entry("herd_kill", {"on": "front", "share": 0.6, "for_s": 2.0, "how": how}))
    entries.append(Entry("node_slow", {"on": "front", "share": 0.4, "x": 5.0, "for_s": 6.0}))
    entries.append(Entry("reset_conns", {"share": 0.5, "x": 1.0}))
    return entries


def _share_that_stops(how: str) -> float:
    """Return the share of the machines that are stopped in turn; some must stay where they do not come back."""
    return 0.34 if "remove" in how else 1.0


def _core_entries() -> list[Entry]:
    entries = []
    for how in ["", "leader", "reader", "seed", "power leader", "leader meet", "leader race hard", "leader drain",
                "power leader race drain hard", "leader meet hard"]:
        entries.append(Entry("node_kill", {"on": "core", "count": 1, "for_s": 3.5, "how": how}))
    for how in ["leader", "leader meet", "leader race", "leader hard", "leader drain", "seed"]:
        entries.append(Entry("node_freeze", {"on": "core", "count": 1, "for_s": 4.5, "how": how}))
    for how in ["", "busy", "meet", "race", "remove", "remove busy"]:
        entries.append(Entry("roll_term", {"on": "core", "share": _share_that_stops(how), "gap_s": 5.0, "how": how}))
    for how in ["", "power", "race", "power race", "taken", "taken power"]:
        entries.append(Entry("herd_kill", {"on": "core", "share": 1.0, "for_s": 2.0, "how": how}))
    entries.append(Entry("node_slow", {"on": "core", "count": 1, "x": 8.0, "for_s": 6.0, "how": "leader"}))
    entries.append(Entry("reset_conns", {"on": "core", "share": 1.0, "x": 1.0}))
    for how in ["", "leader", "one_way", "leader one_way", "leader reset", "leader refuse", "seeds", "both",
                "leader race drain", "leader meet", "leader one_way race", "both race", "seeds one_way"]:
        entries.append(Entry("core_cut", {"count": 1, "for_s": 6.0, "how": how}))
    for how in ["", "planned", "leader", "planned leader", "race", "meet"]:
        entries.append(Entry("replace_core", {"x": 1.5, "how": how}))
    for how in ["", "kill", "timed", "taken", "kill taken", "timed race"]:
        entries.append(Entry("after_ack_kill", {"for_s": 3.0, "how": how}))
    for how in ["", "timed", "taken", "race", "taken drain"]:
        entries.append(Entry("after_ack_wipe", {"for_s": 3.0, "how": how}))
    entries.append(Entry("seed_turnover"))
    return entries


def _disk_and_clock_entries() -> list[Entry]:
    entries = []
    for kind in ["disk_slow", "disk_full", "disk_stall"]:
        for how in ["", "leader", "leader race"]:
            entries.append(Entry(kind, {"count": 1, "for_s": 5.0, "how": how}))
    for how in ["back", "ahead"]:
        entries.append(Entry("clock_step", {"x": 4000, "share": 0.5, "for_s": 6.0, "how": how}))
    entries.append(Entry("clock_step", {"x": 5000, "share": 1.0, "for_s": 9.0, "how": "ahead"}))
    entries.append(Entry("hup", {"share": 1.0, "gap_s": 4.0}))
    return entries


def _configuration_entries() -> list[Entry]:
    entries = [Entry("ack_lost", {"x": 0.7, "for_s": 14.0}), Entry("config_race", {"count": 4, "gap_s": 1.0})]
    for how in ["route", "weights", "timeout", "idle"]:
        entries.append(Entry("config_change", {"how": how}))
    entries.append(Entry("big_config", {"count": 1480}))
    entries.append(Entry("config_storm", {"gap_s": 0.17, "for_s": 6.0, "how": "idle"}))
    for how in ["cut_short", "unknown_service", "same_place", "no_timeout", "old_version", "same_version",
                "stale_match"]:
        entries.append(Entry("bad_config", {"count": 3, "gap_s": 1.0, "how": how}))
    return entries


def closings() -> list[dict]:
    """Return each final fault in each of its variants."""
    closing_faults = []
    for how in ["", "taken", "timed"]:
        closing_faults.append({"kind": "power_off_all", "down_s": 1.0, "how": how})
    for how in ["", "taken", "timed", "aimed"]:
        closing_faults.append({"kind": "wipe_after_ack", "down_s": 1.0, "how": how})
    closing_faults.append({"kind": "kill_all", "down_s": 0.6})
    return closing_faults


def quiet_day(seed: int) -> Day:
    """Return a day without faults."""
    return Day("quiet", seed, _calm_changes([6.0, 20.0]), [])


def single_day(entry: Entry, seed: int) -> Day:
    """Return a day with one fault alone and a few plain changes of the configuration."""
    return _day(entry.label(), seed, [(TROUBLE_START_S, entry)], None)


def closing_day(closing: dict, seed: int) -> Day:
    """Return a day whose only fault is its final fault."""
    name = "-".join(part for part in ["closing", closing["kind"], closing.get("how", "")] if part)
    return _day(name, seed, [], closing)


def mixed_day(entries: list[Entry], seed: int, size: int, spread_s: float, wanted: str = "") -> Day:
    """Return a day with several faults drawn by the seed, at nearly the same time, with any closing.

    If a text is wanted, the label of one fault contains it.
    """
    dice = random.Random(seed)
    drawn = [dice.choice([entry for entry in entries if wanted in entry.label()])]
    drawn += dice.sample([entry for entry in entries if entry not in drawn], size - 1)
    timed = [(TROUBLE_START_S + dice.uniform(0.0, spread_s), entry) for entry in drawn]
    closing = dice.choice(closings() + [None] * 4)
    name = "+".join(entry.label() for entry in drawn)
    if closing:
        name += "+" + closing["kind"]
    return _day(name, seed, timed, closing)


def repeated_day(entry: Entry, seed: int, times: int, gap_s: float) -> Day:
    """Return a day on which one fault comes several times, each perhaps at other machines, with a drawn closing."""
    closing = random.Random(seed).choice(closings())
    timed = [(TROUBLE_START_S - 1.0 + gap_s * index, entry) for index in range(times)]
    return _day(f"{times}x-{entry.label()}+{closing['kind']}", seed, timed, closing)


def closed_days(entry: Entry, seed: int) -> list[Day]:
    """Return a day for each final fault, after one fault."""
    days = []
    for index, closing in enumerate(closings()):
        name = "-".join(part for part in [f"{entry.label()}+{closing['kind']}", closing.get("how", "")] if part)
        days.append(_day(name, seed + index, [(TROUBLE_START_S, entry)], closing))
    return days


def timed_day(name: str, seed: int, timed: list[tuple[float, Entry]], closing: dict | None) -> Day:
    """Return a day with just the given faults, each at its time."""
    plan = []
    faults = []
    for seconds, entry in timed:
        target = plan if entry.is_planned() else faults
        target.append(entry.at(seconds))
    return Day(name, seed, plan, faults, closing)


def _day(name: str, seed: int, timed: list[tuple[float, Entry]], closing: dict | None) -> Day:
    day = timed_day(name, seed, timed, closing)
    return Day(name, seed, _calm_changes([5.0, 9.5, 11.0, 13.0, 25.0]) + day.plan, day.faults, closing)


def _calm_changes(times: list[float]) -> list[dict]:
    return [Entry("config_change", {"how": "idle"}).at(seconds) for seconds in times]
