"""Parsing of command-line arguments.

Fire parses the arguments; this module converts and validates their values.
"""

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
_HELP_FLAGS = ("--help", "-h", "help")
# Corrections of fire's help output: it lists the FIRE_METADATA attribute that
# it sets on functions as a group, and shows type annotations as source text.
_HELP_CORRECTIONS = (
    (
        r"GROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA\n?",
        "",
    ),
    (r"(\w) GROUP \| (?!COMMAND)", r"\1 "),
    (r"Type: Optional\['(.*?)(?: \| None)?'\]", r"Type: \1"),
    (r"Type: '(.*)'", r"Type: \1"),
)


class DeferredCommand:
    """A command with its arguments, to be run after parsing."""

    def __init__(self, call: Callable[[], int | None]) -> None:
        self._call = call

    def __dir__(self) -> list[str]:
        """Hides all members, so that fire accepts no further arguments."""
        return []


class BadUseError(Exception):
    """A command-line argument that is invalid."""


def run(commands: type, arguments: list[str]) -> int:
    """Runs the command given by the arguments.

    Args:
        commands: The class whose methods are the commands.
        arguments: The arguments after the program's name.

    Returns:
        The exit code.
    """
    os.environ["PAGER"] = "-"
    core.Display = _display_help
    if not arguments:
        arguments = ["--help"]
    elif arguments[0] in _HELP_FLAGS:
        arguments = [*arguments[1:], "--help"]
    match _parse(commands, arguments):
        case result.Success(command):
            return _run_command(command)
        case failed:
            code, text = failed.failure()
            if text:
                print(f"mangotally: {text}", file=sys.stderr)
            return int(code)


def _run_command(command: DeferredCommand) -> int:
    try:
        return command._call() or 0
    except BadUseError as error:
        print(f"mangotally: {error}", file=sys.stderr)
        return EXIT_USAGE_ERROR


def _parse(
    commands: type, arguments: list[str]
) -> result.Result[DeferredCommand, tuple[int, str]]:
    joined = _join_repeated(arguments)
    null_stream = _NullStream()
    original_stderr, sys.stderr = sys.stderr, null_stream
    try:
        parsed = fire.Fire(
            _defer_class(commands)(),
            command=joined,
            name="mangotally",
            serialize=lambda _: None,
        )
    except core.FireExit as error:
        if not error.code:
            return result.Failure((0, ""))
        element = error.trace.elements[-1]
        reason = element.ErrorAsStr() if element.HasError() else "usage error"
        return result.Failure((EXIT_USAGE_ERROR, _first_line(reason)))
    finally:
        sys.stderr = original_stderr
    if isinstance(parsed, DeferredCommand):
        return result.Success(parsed)
    return result.Failure(
        (EXIT_USAGE_ERROR, "a command is missing; see --help")
    )


class _NullStream:
    """Discards the usage text that fire writes along with an error."""

    def write(self, text: str) -> int:
        return len(text)

    def flush(self) -> None:
        return

    def isatty(self) -> bool:
        return False


def _first_line(reason: str) -> str:
    line = reason.strip().splitlines()[0]
    return f"{line[0].lower()}{line[1:]}; see --help"


def _display_help(lines: list[str], out: Any) -> None:
    del out
    text = "\n".join(lines)
    for pattern, replacement in _HELP_CORRECTIONS:
        text = re.sub(pattern, replacement, text)
    print(text, file=sys.stdout)


def _join_repeated(arguments: list[str]) -> list[str]:
    """Merges repeated `--set` options, as fire accepts an option only once."""
    rest: list[str] = []
    values: list[str] = []
    expects_value = False
    for argument in arguments:
        if expects_value:
            values.append(argument)
            expects_value = False
        elif argument == _REPEATABLE:
            expects_value = True
        elif argument.startswith(f"{_REPEATABLE}="):
            values.append(argument[len(_REPEATABLE) + 1 :])
        else:
            rest.append(argument)
    if expects_value:
        rest.append(_REPEATABLE)
    if values:
        rest.append(f"{_REPEATABLE}={json.dumps(values)}")
    return rest


def _defer_class(commands: type) -> type:
    """Returns a class whose methods return deferred commands."""
    members: dict[str, Any] = {"__doc__": commands.__doc__}
    for name, member in vars(commands).items():
        if name.startswith("_"):
            continue
        if inspect.isfunction(member):
            members[name] = _defer_method(member)
        elif inspect.isclass(member):
            members[name] = _defer_class(member)()
    return type(commands.__name__, (), members)


def _defer_method(method: Callable[..., int | None]) -> Any:
    hints = typing.get_type_hints(method)

    @functools.wraps(method)
    def wrapper(self: Any, *values: str, **named: str) -> DeferredCommand:
        def call() -> int | None:
            signature = inspect.signature(method)
            bound = signature.bind(self, *values, **named)
            for name, value in bound.arguments.items():
                if name != "self":
                    converted = _convert_argument(name, value, hints.get(name))
                    bound.arguments[name] = converted
            return method(*bound.args, **bound.kwargs)

        return DeferredCommand(call)

    return decorators.SetParseFn(str)(wrapper)


def _convert_argument(name: str, value: Any, type_hint: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_convert(name, item, type_hint) for item in value)
    return _convert(name, value, type_hint)


def _convert(name: str, value: Any, type_hint: Any) -> Any:
    if not isinstance(value, str):
        return value
    option = f"--{name.replace('_', '-')}"
    accepted_types = typing.get_args(type_hint) or (type_hint,)
    if value in ("True", "False"):
        if bool in accepted_types:
            return value == "True"
        if str not in accepted_types or value == "True":
            raise BadUseError(f"{option} needs a value")
    if int in accepted_types:
        return _number(option, value, int)
    if float in accepted_types:
        return _number(option, value, float)
    if typing.get_origin(type_hint) is tuple:
        return _list(value)
    return value


def _list(value: str) -> tuple[str, ...]:
    try:
        values = json.loads(value)
    except ValueError:
        return (value,)
    return tuple(values) if isinstance(values, list) else (value,)


def _number(option: str, value: str, number_type: type) -> Any:
    try:
        return number_type(value)
    except ValueError:
        raise BadUseError(f"{option} {value}: not a number") from None
