"""The commands of the command line."""

from __future__ import annotations

import pathlib
import sys
from urllib import parse as urls

from returns import result

from mangotally import application
from mangotally.commands import arguments, fleet, process
from mangotally.commands import demo as demo_command
from mangotally.commands import local as local_command
from mangotally.commands import replay as replay_command
from mangotally.settings import checks, loader
from mangotally.settings import host as host_settings
from mangotally.standins import deployments
from mangotally.util import logs


class Commands:
    """A scheduler for agent programs.

    Commands that talk to a fleet take --operators URL, the base URL of any
    host's administration API, and read the operator key from the
    environment variable MANGOTALLY_OPERATOR_KEY. Exit codes: 0 done, 1
    failed, 2 bad use.
    """

    def serve(
        self,
        settings: str,
        *,
        set: tuple[str, ...] = (),  # noqa: A002
        record: str | None = None,
    ) -> int:
        """Runs one host until SIGTERM.

        Args:
            settings: YAML file with the settings of this host.
            set: Override as name=value, name by dots; may be repeated.
            record: Trace file to record programs in, without contents.
        """
        logs.configure()
        overrides = loader.parse_overrides(set)
        loaded = overrides.bind(
            lambda values: loader.load(
                host_settings.HostSettings, pathlib.Path(settings), values
            )
        )
        if isinstance(loaded, result.Failure):
            return _complain(loaded.failure(), arguments.EXIT_USAGE_ERROR)
        found = loaded.unwrap()
        path = pathlib.Path(record) if record else None
        return _serve(lambda: application.Application(found, record=path))

    def entry(self, settings: str) -> int:
        """Runs one entry host on the platform until SIGTERM.

        Args:
            settings: YAML file with the settings of this host.
        """
        # Imported here: the other commands need none of it.
        from mangotally.entry import command

        return command.run(settings)

    def check(self, *files: str, set: tuple[str, ...] = ()) -> int:  # noqa: A002
        """Checks settings, plans and uses files; says what is wrong where.

        Which kind a file is shows from its content. Plans and uses are
        checked against each other when both are given.

        Args:
            files: The YAML files.
            set: Override of the settings file as name=value.
        """
        if not files:
            return _complain("name a file to check", arguments.EXIT_USAGE_ERROR)
        overrides = loader.parse_overrides(set)
        if isinstance(overrides, result.Failure):
            return _complain(overrides.failure(), arguments.EXIT_USAGE_ERROR)
        checked, faults = checks.check_files(
            [pathlib.Path(name) for name in files], overrides.unwrap()
        )
        for fault in faults:
            print(fault, file=sys.stderr)
        if faults:
            return arguments.EXIT_FAILED
        for item in checked:
            print(f"{item.path}: {item.kind.value} ok")
        return 0

    def publish(
        self,
        plans: str,
        uses: str,
        *,
        operators: str | None = None,
        predecessor: int | None = None,
    ) -> int:
        """Publishes both lists as the next version of the configuration.

        Args:
            plans: YAML file: which organisation has which plan.
            uses: YAML file: what each plan may use.
            operators: Base URL of a host's administration API.
            predecessor: The version that the files were made from; by
                default the one in force. If another is in force the
                command fails and nothing changes.
        """
        return _with_fleet(
            operators,
            lambda client: fleet.publish(client, plans, uses, predecessor),
        )

    class key:  # noqa: N801
        """Gives, withdraws and lists the keys of organisations."""

        def give(
            self, organisation: str, *, operators: str | None = None
        ) -> int:
            """Gives a new key and prints it, this once, with its id.

            Args:
                organisation: The organisation that the key speaks for.
                operators: Base URL of a host's administration API.
            """
            body = {"organisation": organisation}
            return _with_fleet(
                operators,
                lambda client: client.request("POST", "/admin/keys", body),
            )

        def withdraw(self, id: str, *, operators: str | None = None) -> int:  # noqa: A002
            """Withdraws a key for good; calls under it end within seconds.

            Args:
                id: The key's id, not the key itself.
                operators: Base URL of a host's administration API.
            """
            path = f"/admin/keys/{urls.quote(id, safe='')}"
            return _with_fleet(
                operators, lambda client: client.request("DELETE", path)
            )

        def list(self, *, operators: str | None = None) -> int:
            """Lists the ids of the keys that work, and their organisations.

            Args:
                operators: Base URL of a host's administration API.
            """
            return _with_fleet(
                operators, lambda client: client.request("GET", "/admin/keys")
            )

    def dump(self, host: str, *, operators: str | None = None) -> int:
        """Prints the state of a host's process as YAML.

        Args:
            host: The host's id, asked for through --operators; or the base
                URL of its own administration API.
            operators: Base URL of any host's administration API.
        """
        if host.startswith(("http://", "https://")):
            return _with_fleet(
                host, lambda client: client.request("GET", "/admin/dump")
            )
        path = f"/admin/hosts/{urls.quote(host, safe='')}/dump"
        return _with_fleet(
            operators, lambda client: client.request("GET", path)
        )

    def local(
        self,
        *,
        hosts: int = 3,
        ready_file: str | None = None,
        deployment: str = "tornos-norte",
        seed: int = 0,
        port: int | None = None,
    ) -> int:
        """Runs a fleet with stand-ins on the loopback until SIGTERM.

        Args:
            hosts: Number of hosts; 0 runs the stand-ins alone.
            ready_file: JSON file to write when the fleet is ready.
            deployment: `tornos-norte` or `lakeshore`.
            seed: Seed of the stand-ins.
            port: Port for callers of the first host.
        """
        logs.configure()
        refusal = _check_local(hosts, deployment, port)
        if refusal is not None:
            return _complain(refusal, arguments.EXIT_USAGE_ERROR)
        path = pathlib.Path(ready_file) if ready_file else None
        return _serve(
            lambda: local_command.LocalFleet(
                deployment, hosts, path, port, seed
            )
        )

    def replay(
        self,
        *traces: str,
        compare: bool = False,
        policy: str = replay_command.FAIR,
        parameters: str | None = None,
        plot: str | None = None,
    ) -> int:
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
            replay_command.ReplayRequest(
                tuple(str(name) for name in traces),
                policies,
                pathlib.Path(parameters) if parameters else None,
                pathlib.Path(plot) if plot else None,
            )
        )
        if isinstance(outcome, result.Failure):
            return _complain(outcome.failure(), arguments.EXIT_USAGE_ERROR)
        return 0 if outcome.unwrap() else arguments.EXIT_FAILED

    def demo(self) -> int:
        """Replays a part of both deployments' days and prints a table.

        Exits with 1 on a lost program or a wrongful refusal.
        """
        logs.configure(level=40)
        good: list[bool] = []

        async def work() -> None:
            good.append(await demo_command.run())

        process.run(work())
        return 0 if good == [True] else arguments.EXIT_FAILED


def main() -> None:
    """Runs the command that the arguments name, and exits."""
    raise SystemExit(arguments.run(Commands, sys.argv[1:]))


def _serve(open_service: process.ServiceFactory) -> int:
    try:
        process.run_until_stopped(open_service)
    except OSError as error:
        return _complain(str(error), arguments.EXIT_FAILED)
    return 0


def _with_fleet(operators: str | None, ask: fleet.FleetOperation) -> int:
    client = fleet.connect(operators)
    if isinstance(client, result.Failure):
        return _complain(client.failure(), arguments.EXIT_USAGE_ERROR)
    answer = ask(client.unwrap())
    if isinstance(answer, result.Failure):
        return _complain(answer.failure(), arguments.EXIT_FAILED)
    print(fleet.to_yaml(answer.unwrap()), end="")
    return 0


def _check_local(hosts: int, deployment: str, port: int | None) -> str | None:
    if not 0 <= hosts <= local_command.MAX_HOSTS:
        return f"--hosts {hosts}: not from 0 to {local_command.MAX_HOSTS}"
    if deployment not in deployments.DEPLOYMENTS:
        known = ", ".join(sorted(deployments.DEPLOYMENTS))
        return f"--deployment {deployment}: not one of {known}"
    if port is not None and not 1 <= port <= 65535:
        return f"--port {port}: not from 1 to 65535"
    return None


def _complain(text: str, code: int) -> int:
    print(f"mangotally: {text}", file=sys.stderr)
    return code
