"""Plays days with the bench and reads its reports."""

import json
import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from toml_writer import to_toml
from faults import Day

PLAY_TIMEOUT_S = 400
FIELDS_OF_STANDARD_DAY = ["one", "zero", "goal", "floor_classes", "floor_zones", "traffic"]


@dataclass(frozen=True)
class Result:
    """What one day came to."""

    day: str
    seed: int
    worth: float
    served: float
    score: float
    fault: str
    rules_broken: str
    missed: str
    day_file: Path

    def row(self) -> str:
        """Return the result as one line of a table."""
        gate = "FAILED" if self.rules_broken or self.fault or self.missed else "passed"
        reasons = " ".join(reason for reason in [self.rules_broken, self.fault, self.missed] if reason)
        figures = f"{self.worth:>7.3f}{self.served:>7.3f}{self.score:>7.2f}"
        return f"{self.day:<52.52} {self.seed:>9} {gate:<7}{figures}  {reasons}"

    def is_broken(self) -> bool:
        """Report whether the day failed its gate."""
        return bool(self.rules_broken or self.fault or self.missed)


HEADING = f"{'day':<52} {'seed':>9} {'gate':<7}{'worth':>7}{'served':>7}{'score':>7}  broken"


@dataclass(frozen=True)
class Player:
    """Plays days of one site file; all output goes to the scratch folder."""

    bench: str
    site_file: Path
    site: dict
    scratch: Path
    why: str
    jobs: int
    log: str

    def play_all(self, days: list[Day]) -> list[Result]:
        """Play the days, several at once, and print one row for each as it ends."""
        self.scratch.mkdir(parents=True, exist_ok=True)
        print(f"\n{self.site_file.stem}\n{HEADING}", flush=True)
        with ThreadPoolExecutor(max_workers=self.jobs) as pool:
            return list(pool.map(self._play_and_print, days))

    def _play_and_print(self, day: Day) -> Result:
        result = self._play(day)
        print(result.row(), flush=True)
        return result

    def _play(self, day: Day) -> Result:
        stem = re.sub(r"[^A-Za-z0-9_-]+", "-", f"{day.name}-{day.seed}")[:150]
        day_file = self.scratch / f"{stem}.toml"
        report_file = self.scratch / f"{stem}.json"
        day_file.write_text(to_toml(self._document(day)))
        report_file.unlink(missing_ok=True)
        command = [self.bench, "run", str(self.site_file), str(day_file), "--seed", str(day.seed), "--jobs", "1",
                   "--report", str(report_file), "--why", f"{self.why}: {day.name}"]
        if self.log:
            command += ["--log", self.log]
        output_file = self.scratch / f"{stem}.txt"
        with output_file.open("w") as output:
            try:
                subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, timeout=PLAY_TIMEOUT_S, check=False)
            except subprocess.TimeoutExpired:
                output.write("\nthe play took too long\n")
        return self._read(day, day_file, report_file, output_file)

    def _document(self, day: Day) -> dict:
        standard = next(one for one in self.site["day"] if one["slot"] == "trouble")
        document = {"name": "own-" + str(day.seed), "slot": "trouble", "seed": day.seed, "labels": [], "light": True}
        document["wall"] = standard.get("wall", 3.0)
        for name in FIELDS_OF_STANDARD_DAY:
            if name in standard:
                document[name] = standard[name]
        document["plan"] = day.plan
        document["faults"] = day.faults
        if day.closing:
            document["closing"] = day.closing
        return document

    def _read(self, day: Day, day_file: Path, report_file: Path, output_file: Path) -> Result:
        if not report_file.exists():
            lines = [line for line in output_file.read_text().splitlines() if line.strip()]
            last = lines[-1][:100] if lines else "no output"
            return Result(day.name, day.seed, 0.0, 0.0, 0.0, f"no report: {last}", "", "", day_file)
        report = json.loads(report_file.read_text())
        score = re.search(r"^own\S*\s+\S+\s+(\S+)", output_file.read_text(), re.MULTILINE)
        return Result(
            day=day.name,
            seed=day.seed,
            worth=report["G"],
            served=report["served"],
            score=_number(score.group(1)) if score else 0.0,
            fault=str(report["fault"] or ""),
            rules_broken=" ".join(f"{rule}={count}" for rule, count in sorted(report["breaks"].items())),
            missed=" ".join(str(item) for item in report["short"]),
            day_file=day_file,
        )


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
