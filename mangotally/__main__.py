"""Entry point of the command line."""

from __future__ import annotations

import sys

import fire

from mangotally.commands import cli

_SET = "--set"


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(cli.Commands, command=_join_overrides(sys.argv[1:]))


def _join_overrides(arguments: list[str]) -> list[str]:
    """Joins repeated `--set` options, which fire takes only once."""
    rest: list[str] = []
    values: list[str] = []
    waiting = False
    for argument in arguments:
        if waiting:
            values.append(argument)
            waiting = False
        elif argument == _SET:
            waiting = True
        elif argument.startswith(f"{_SET}="):
            values.append(argument[len(_SET) + 1 :])
        else:
            rest.append(argument)
    if values:
        rest.append(f"{_SET}={tuple(values)!r}")
    return rest


if __name__ == "__main__":
    main()
