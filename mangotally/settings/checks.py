"""Checks files of any kind: settings, entry settings, plans and uses."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
from typing import Any

from returns import result

from mangotally.settings import entry, host, lists, loader, yaml_files


class FileKind(enum.Enum):
    """The kind of content of a file."""

    SETTINGS = "settings"
    ENTRY = "entry"
    PLANS = "plans"
    USES = "uses"


MODELS: dict[FileKind, type[Any]] = {
    FileKind.SETTINGS: host.HostSettings,
    FileKind.ENTRY: entry.EntrySettings,
    FileKind.PLANS: lists.PlanList,
    FileKind.USES: lists.UseList,
}
# Top-level keys by which the kind of a file is detected.
_IDENTIFYING_KEYS = {
    FileKind.PLANS: {"organisations"},
    FileKind.USES: {"plans", "services"},
    FileKind.ENTRY: {"failure_domain", "store", "bounds"},
    FileKind.SETTINGS: {"host_id", "address", "log", "roster_url", "place"},
}


@dataclasses.dataclass(frozen=True)
class CheckedFile:
    """A file whose content is valid on its own."""

    path: pathlib.Path
    kind: FileKind
    model: Any


def check_files(
    paths: list[pathlib.Path], overrides: dict[str, Any] | None = None
) -> tuple[list[CheckedFile], list[str]]:
    """Checks files, and plans and uses for consistency with each other.

    Args:
        paths: The files.
        overrides: Values that replace those of settings files.

    Returns:
        The files that are valid on their own, and all problems.
    """
    checked: list[CheckedFile] = []
    problems: list[str] = []
    for path in paths:
        match check_file(path, overrides):
            case result.Success(found):
                checked.append(found)
            case failed:
                problems.append(failed.failure())
    problems += _check_consistency(checked)
    return checked, problems


def check_file(
    path: pathlib.Path, overrides: dict[str, Any] | None = None
) -> result.Result[CheckedFile, str]:
    """Detects the kind of a file and checks its content."""
    match yaml_files.read(path):
        case result.Success(document):
            kind = detect_kind(document.content)
        case failed:
            return result.Failure(failed.failure())
    if kind is None:
        return result.Failure(
            f"{path}:1: not a settings, entry, plans or uses file; none of "
            "the top-level keys identifies its kind"
        )
    values = overrides if kind is FileKind.SETTINGS else None
    model = loader.check(MODELS[kind], path, document, values)
    return model.map(lambda found: CheckedFile(path, kind, found))


def detect_kind(content: dict[str, Any]) -> FileKind | None:
    """Returns the kind of a file by its top-level keys, or None."""
    counts = {
        kind: len(keys & content.keys())
        for kind, keys in _IDENTIFYING_KEYS.items()
    }
    best = max(counts, key=lambda kind: counts[kind])
    return best if counts[best] else None


def _check_consistency(checked: list[CheckedFile]) -> list[str]:
    plans = [item for item in checked if item.kind is FileKind.PLANS]
    uses = [item for item in checked if item.kind is FileKind.USES]
    return [
        f"{first.path} with {second.path}: {problem}"
        for first in plans
        for second in uses
        for problem in lists.find_problems(first.model, second.model)
    ]
