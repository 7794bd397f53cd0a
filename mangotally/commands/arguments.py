"""Arguments of commands: read by fire, converted and checked here."""

from __future__ import annotations

import functools
import inspect
import json
import os
import re
import sys
import typing
from typing import Any

import fire
from fire import core, decorators
from returns import result

if typing.TYPE_CHECKING:
    from collections.abc import Callable

EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
_REPEATABLE = "--set"
_HELP = ("--help", "-h", "help")
# Fire lists its own mark on functions, and annotations as text.
_HELP_PATTERNS = (
    (
        r"GROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA\n?",
        "",
    ),
    (r"(\w) GROUP \| (?!COMMAND)", r"\1 "),
    (r"Type: Optional\['(.*?)(?: \| None)?'\]", r"Type: \1"),
    (r"Type: '(.*)'", r"Type: \1"),
)


class DeferredCommand:
    """A command with its arguments, ready to run."""

    def __init__(self, work: Callable[[], int | None]) -> None:
        """Makes a job."""
        self._work = work

    def __dir__(self) -> list[str]:
        """Hides all members, so that fire takes no further words."""
        return []


class BadUseError(Exception):
    """An argument that cannot be understood."""


def run(commands: type, arguments: list[str]) -> int:
    """Runs the command that some arguments name.

    Args:
        commands: The class whose methods are the commands.
        arguments: The words after the program's name.

    Returns:
        The exit code.
    """
    os.environ["PAGER"] = "-"
    core.Display = _display
    if not arguments:
        arguments = ["--help"]
    elif arguments[0] in _HELP:
        arguments = [*arguments[1:], "--help"]
    match _read(commands, arguments):
        case result.Success(job):
            return _run(job)
        case failed:
            code, text = failed.failure()
            if text:
                print(f"mangotally: {text}", file=sys.stderr)
            return int(code)


def _run(job: DeferredCommand) -> int:
    try:
        return job._work() or 0
    except BadUseError as error:
        print(f"mangotally: {error}", file=sys.stderr)
        return EXIT_USAGE_ERROR


def _read(
    commands: type, arguments: list[str]
) -> result.Result[DeferredCommand, tuple[int, str]]:
    words = _join_repeated(arguments)
    quiet = _Quiet()
    real, sys.stderr = sys.stderr, quiet
    try:
        found = fire.Fire(
            _deferred(commands)(),
            command=words,
            name="mangotally",
            serialize=lambda _: None,
        )
    except core.FireExit as error:
        if not error.code:
            return result.Failure((0, ""))
        element = error.trace.elements[-1]
        reason = element.ErrorAsStr() if element.HasError() else "bad use"
        return result.Failure((EXIT_USAGE_ERROR, _first_line(reason)))
    finally:
        sys.stderr = real
    if isinstance(found, DeferredCommand):
        return result.Success(found)
    return result.Failure(
        (EXIT_USAGE_ERROR, "a command is missing; see --help")
    )


class _Quiet:
    """Swallows what fire writes beside the error itself."""

    def write(self, text: str) -> int:
        return len(text)

    def flush(self) -> None:
        return

    def isatty(self) -> bool:
        return False


def _first_line(reason: str) -> str:
    line = reason.strip().splitlines()[0]
    return f"{line[0].lower()}{line[1:]}; see --help"


def _display(lines: list[str], out: Any) -> None:
    del out
    text = "\n".join(lines)
    for pattern, replacement in _HELP_PATTERNS:
        text = re.sub(pattern, replacement, text)
    print(text, file=sys.stdout)


def _join_repeated(arguments: list[str]) -> list[str]:
    """Joins repeated `--set` options, which fire takes only once."""
    rest: list[str] = []
    values: list[str] = []
    waiting = False
    for argument in arguments:
        if waiting:
            values.append(argument)
            waiting = False
        elif argument == _REPEATABLE:
            waiting = True
        elif argument.startswith(f"{_REPEATABLE}="):
            values.append(argument[len(_REPEATABLE) + 1 :])
        else:
            rest.append(argument)
    if waiting:
        rest.append(_REPEATABLE)
    if values:
        rest.append(f"{_REPEATABLE}={json.dumps(values)}")
    return rest


def _deferred(commands: type) -> type:
    """Returns a class whose methods return jobs rather than run."""
    members: dict[str, Any] = {"__doc__": commands.__doc__}
    for name, member in vars(commands).items():
        if name.startswith("_"):
            continue
        if inspect.isfunction(member):
            members[name] = _defer(member)
        elif inspect.isclass(member):
            members[name] = _deferred(member)()
    return type(commands.__name__, (), members)


def _defer(method: Callable[..., int | None]) -> Any:
    hints = typing.get_type_hints(method)

    @functools.wraps(method)
    def wrapper(self: Any, *values: str, **named: str) -> DeferredCommand:
        def work() -> int | None:
            signature = inspect.signature(method)
            bound = signature.bind(self, *values, **named)
            for name, value in bound.arguments.items():
                if name != "self":
                    converted = _convert_all(name, value, hints.get(name))
                    bound.arguments[name] = converted
            return method(*bound.args, **bound.kwargs)

        return DeferredCommand(work)

    return decorators.SetParseFn(str)(wrapper)


def _convert_all(name: str, value: Any, kind: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_convert(name, item, kind) for item in value)
    return _convert(name, value, kind)


def _convert(name: str, value: Any, kind: Any) -> Any:
    if not isinstance(value, str):
        return value
    option = f"--{name.replace('_', '-')}"
    kinds = typing.get_args(kind) or (kind,)
    if value in ("True", "False"):
        if bool in kinds:
            return value == "True"
        if str not in kinds or value == "True":
            raise BadUseError(f"{option} needs a value")
    if int in kinds:
        return _number(option, value, int)
    if float in kinds:
        return _number(option, value, float)
    if typing.get_origin(kind) is tuple:
        return _list(value)
    return value


def _list(value: str) -> tuple[str, ...]:
    try:
        found = json.loads(value)
    except ValueError:
        return (value,)
    return tuple(found) if isinstance(found, list) else (value,)


def _number(option: str, value: str, kind: type) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise BadUseError(f"{option} {value}: not a number") from None
