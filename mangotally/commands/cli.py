"""The commands of the command line."""

from __future__ import annotations

import pathlib
import sys

from returns import result

from mangotally import application
from mangotally.commands import demo as demo_command
from mangotally.commands import local as local_command
from mangotally.commands import process
from mangotally.commands import replay as replay_command
from mangotally.settings import host as host_settings
from mangotally.settings import loader
from mangotally.util import logs

EXIT_FAILED = 1
EXIT_BAD_USE = 2


class Commands:
    """A scheduler for agent programs."""

    def serve(self, settings: str, set: tuple[str, ...] = ()) -> None:  # noqa: A002
        """Runs one host until SIGTERM.

        Args:
            settings: YAML file with the settings of this host.
            set: Overrides as name=value; may be given several times.
        """
        logs.set_up()
        overrides = {}
        for text in set:
            parsed = loader.parse_override(text)
            if isinstance(parsed, result.Failure):
                fail(parsed.failure(), EXIT_BAD_USE)
            name, value = parsed.unwrap()
            overrides[name] = value
        loaded = loader.load(
            host_settings.HostSettings, pathlib.Path(settings), overrides
        )
        if isinstance(loaded, result.Failure):
            fail(loaded.failure(), EXIT_BAD_USE)
        found = loaded.unwrap()
        process.run_until_stopped(lambda: application.Application(found))

    def local(
        self,
        hosts: int = 3,
        ready_file: str | None = None,
        deployment: str = "tornos-norte",
        seed: int = 0,
        port: int | None = None,
    ) -> None:
        """Runs a fleet with stand-ins on the loopback until SIGTERM.

        Args:
            hosts: Number of hosts; 0 runs the stand-ins alone.
            ready_file: JSON file to write when the fleet is ready.
            deployment: `tornos-norte` or `lakeshore`.
            seed: Seed of the stand-ins.
            port: Port for callers of the first host.
        """
        del seed
        logs.set_up()
        path = pathlib.Path(ready_file) if ready_file else None
        process.run_until_stopped(
            lambda: local_command.LocalFleet(deployment, hosts, path, port)
        )

    def replay(
        self,
        *traces: str,
        compare: bool = False,
        policy: str = replay_command.FAIR,
        parameters: str | None = None,
        plot: str | None = None,
    ) -> None:
        """Replays traces under a virtual clock and prints a table.

        Exits with 1 if an outcome stated beside a trace is not met.

        Args:
            traces: Trace files or names of shipped traces; none for all
                shipped traces.
            compare: Replays every policy, not one.
            policy: The policy to replay.
            parameters: YAML file with parameters of the fake workers.
            plot: Image file to write; needs matplotlib.
        """
        policies = tuple(replay_command.POLICIES) if compare else (policy,)
        outcome = replay_command.run(
            replay_command.Request(
                tuple(str(name) for name in traces),
                policies,
                pathlib.Path(parameters) if parameters else None,
                pathlib.Path(plot) if plot else None,
            )
        )
        if isinstance(outcome, result.Failure):
            fail(outcome.failure(), EXIT_BAD_USE)
        if not outcome.unwrap():
            raise SystemExit(EXIT_FAILED)

    def demo(self) -> None:
        """Runs both deployments on the loopback and prints a table."""
        logs.set_up(level=40)
        process.run(demo_command.run())


def fail(text: str, code: int) -> None:
    """Prints a text to standard error and ends the process."""
    print(text, file=sys.stderr)
    raise SystemExit(code)
