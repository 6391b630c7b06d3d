"""Makes the control side's worst days: each weak point alone and each pair, every one with a final fault.

A point is a way in which a control plane fails: it answers from old state, it confirms twice, it loses a
second machine right after a repair, it falls behind after many changes, it repeats or misroutes calls.
"""

import itertools
import random
from dataclasses import dataclass

import faults
from faults import Day, Entry

LONG_CUT_S = 20.0
"""How long a control machine is cut off or stands still, in seconds."""

LONG_START_S = 6.0
"""When a long fault begins, so that it ends before the day's final fault."""

LAST_CHANGE_S = 30.0
"""When the last change of the configuration is sent."""

SECOND_LOSS_GAPS_S = [4.5, 7.0]
"""Times from a replacement to the next loss: around the time in which a successor must have caught up."""


@dataclass(frozen=True)
class Scene:
    """What happens on one day because of one weak point."""

    name: str
    timed: list[tuple[float, Entry]]


def _changes(gap_s: float, begin_s: float = 4.0) -> list[tuple[float, Entry]]:
    count = int((LAST_CHANGE_S - begin_s) / gap_s)
    return [(begin_s + gap_s * index, Entry("config_change", {"how": "idle"})) for index in range(count)]


def old_state() -> list[Scene]:
    """Return days on which one control machine is cut off, or stands still, for long while changes go on."""
    scenes = []
    for how in ["", "leader", "one_way", "leader one_way", "leader reset", "leader refuse", "all", "near", "oldest",
                "seeds", "both", "lure", "leader race", "all one_way"]:
        cut = Entry("core_cut", {"count": 1, "for_s": LONG_CUT_S, "how": how})
        scenes.append(Scene(f"old-cut-{how}", [(LONG_START_S, cut), *_changes(0.8)]))
    for kind in ["node_freeze", "node_slow"]:
        fault = Entry(kind, {"on": "core", "count": 1, "for_s": LONG_CUT_S, "x": 8.0, "how": "leader"})
        scenes.append(Scene(f"old-{kind}", [(LONG_START_S, fault), *_changes(0.8)]))
    fronts = Entry("node_cut", {"share": 0.3, "for_s": LONG_CUT_S, "how": "one_way"})
    scenes.append(Scene("old-fronts", [(LONG_START_S, fronts), *_changes(0.8)]))
    return scenes


def confirmed_twice() -> list[Scene]:
    """Return days on which operators race and acknowledgements are lost, while control machines come and go."""
    races = [(4.0, Entry("config_race", {"count": 20, "gap_s": 1.2})), (4.5, Entry("ack_lost", {"x": 0.7, "for_s": 26.0}))]
    others = {
        "": [],
        "kill": [(8.0, Entry("node_kill", {"on": "core", "count": 1, "for_s": 2.0, "how": "leader race hard"}))],
        "cut": [(8.0, Entry("core_cut", {"count": 1, "for_s": 8.0, "how": "leader race"}))],
        "freeze": [(8.0, Entry("node_freeze", {"on": "core", "count": 1, "for_s": 5.0, "how": "leader race"}))],
        "wipe": [(8.0, Entry("after_ack_wipe", {"for_s": 2.0, "how": "race"}))],
        "roll": [(8.0, Entry("roll_term", {"on": "core", "share": 1.0, "gap_s": 7.0, "how": "race"}))],
        "bad": [(8.0, Entry("bad_config", {"count": 6, "gap_s": 1.5, "how": "stale_match"}))],
    }
    return [Scene(f"twice-{name}", [*races, *more]) for name, more in others.items()]


def second_loss() -> list[Scene]:
    """Return days on which a loss follows right after a replacement or a rebuild."""
    firsts = {
        "replaced": Entry("replace_core", {"x": 1.0}),
        "planned": Entry("replace_core", {"x": 1.0, "how": "planned leader"}),
        "wiped": Entry("after_ack_wipe", {"for_s": 1.5}),
    }
    seconds = {
        "wipe": Entry("after_ack_wipe", {"for_s": 2.0, "how": "oldest"}),
        "power": Entry("node_kill", {"on": "core", "count": 1, "for_s": 3.0, "how": "power leader"}),
        "replace": Entry("replace_core", {"x": 1.0, "how": "oldest"}),
        "full": Entry("disk_full", {"count": 1, "for_s": 5.0, "how": "leader"}),
    }
    scenes = []
    for (first_name, first), (second_name, second), gap_s in itertools.product(
            firsts.items(), seconds.items(), SECOND_LOSS_GAPS_S):
        timed = [(5.0, first), (5.0 + gap_s, second), (5.0 + 3 * gap_s, first)]
        scenes.append(Scene(f"second-{first_name}-{second_name}-{gap_s:g}", [*timed, *_changes(1.5)]))
    return scenes


def many_changes() -> list[Scene]:
    """Return days with hundreds of changes, after which a machine restarts, is replaced or loses its disk."""
    later = {
        "kill": Entry("node_kill", {"on": "core", "count": 1, "for_s": 3.0, "how": "power"}),
        "wipe": Entry("after_ack_wipe", {"for_s": 2.0}),
        "oldest": Entry("after_ack_wipe", {"for_s": 2.0, "how": "oldest"}),
        "replace": Entry("replace_core", {"x": 1.0, "how": "oldest"}),
        "stall": Entry("disk_stall", {"count": 1, "for_s": 6.0, "how": "leader"}),
    }
    return [Scene(f"many-{name}", [*_changes(0.12, 2.0), (22.0, entry)]) for name, entry in later.items()]


def wrong_caller() -> list[Scene]:
    """Return days on which connections are reset and orders come late or get no answer."""
    resets = [(at, Entry("reset_conns", {"share": 1.0, "x": 1.0})) for at in [6.0, 9.0, 12.0, 15.0]]
    core_resets = [(at, Entry("reset_conns", {"on": "core", "share": 1.0, "x": 0.6})) for at in [7.0, 9.5, 13.0]]
    late = Entry("applied_late", {"x": 0.5, "for_s": 14.0, "how": "all"})
    grey = Entry("srv_grey", {"share": 0.3, "x": 0.6, "for_s": 12.0, "how": "reset"})
    mute = Entry("srv_grey", {"share": 0.3, "x": 0.6, "for_s": 12.0, "how": "mute"})
    replaced = Entry("replace_core", {"x": 1.0, "how": "planned leader"})
    return [
        Scene("caller-resets", [*resets, *core_resets]),
        Scene("caller-late", [*resets, (6.0, late)]),
        Scene("caller-grey", [*resets, (5.0, grey), (8.0, late)]),
        Scene("caller-mute", [*core_resets, (5.0, mute), (8.0, late)]),
        Scene("caller-moved", [*resets, (8.0, replaced), (16.0, replaced)]),
    ]


POINTS = [old_state, confirmed_twice, second_loss, many_changes, wrong_caller]
"""What makes the scenes of each weak point."""


def alone(seed: int) -> list[Day]:
    """Return a day for each scene, each with a final fault drawn by its seed."""
    scenes = [scene for point in POINTS for scene in point()]
    return [_day([scene], seed + index) for index, scene in enumerate(scenes)]


def pairs(seed: int, each: int) -> list[Day]:
    """Return days with scenes of two points, for each pair of points as many as are wanted."""
    days = []
    for first, second in itertools.combinations(POINTS, 2):
        for _ in range(each):
            day_seed = seed + len(days)
            dice = random.Random(day_seed)
            days.append(_day([dice.choice(first()), dice.choice(second())], day_seed))
    return days


def _day(scenes: list[Scene], seed: int) -> Day:
    closing = random.Random(seed).choice(faults.closings())
    name = "+".join([scene.name for scene in scenes] + [closing["kind"]])
    timed = [entry for scene in scenes for entry in scene.timed]
    return faults.timed_day(name, seed, timed, closing)
