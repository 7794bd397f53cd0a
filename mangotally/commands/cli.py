"""The commands of the command-line interface."""

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
    environment variable MANGOTALLY_OPERATOR_KEY. Exit codes: 0 success,
    1 failure, 2 usage error.
    """

    def serve(
        self,
        settings: str,
        *,
        set: tuple[str, ...] = (),  # noqa: A002
        record: str | None = None,
    ) -> int:
        """Runs one host until it receives SIGTERM.

        Args:
            settings: YAML file with the settings of this host.
            set: Override of a setting as name=value, with a dotted name; may
                be repeated.
            record: Trace file to which programs are recorded, without
                message contents.
        """
        logs.configure()
        overrides = loader.parse_overrides(set)
        loaded = overrides.bind(
            lambda values: loader.load(
                host_settings.HostSettings, pathlib.Path(settings), values
            )
        )
        if isinstance(loaded, result.Failure):
            return _print_error(loaded.failure(), arguments.EXIT_USAGE_ERROR)
        loaded_settings = loaded.unwrap()
        path = pathlib.Path(record) if record else None
        return _serve(
            lambda: application.Application(loaded_settings, record=path)
        )

    def entry(self, settings: str) -> int:
        """Runs one entry host on the platform until it receives SIGTERM.

        Args:
            settings: YAML file with the settings of this host.
        """
        # Imported here because no other command needs these modules.
        from mangotally.entry import command

        return command.run(settings)

    def check(self, *files: str, set: tuple[str, ...] = ()) -> int:  # noqa: A002
        """Validates settings, plans and uses files and reports each error.

        The kind of a file is detected from its content. If both plans and
        uses are given, they are also checked against each other.

        Args:
            files: The YAML files.
            set: Override of a setting in the settings file as name=value.
        """
        if not files:
            return _print_error(
                "name a file to check", arguments.EXIT_USAGE_ERROR
            )
        overrides = loader.parse_overrides(set)
        if isinstance(overrides, result.Failure):
            return _print_error(overrides.failure(), arguments.EXIT_USAGE_ERROR)
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
        """Publishes plans and uses as the next version of the configuration.

        Args:
            plans: YAML file that assigns a plan to each organisation.
            uses: YAML file that states what each plan may use.
            operators: Base URL of a host's administration API.
            predecessor: The version on which the files are based; by
                default the current one. If the current version differs,
                the command fails and nothing changes.
        """
        return _with_fleet(
            operators,
            lambda client: fleet.publish(client, plans, uses, predecessor),
        )

    class key:  # noqa: N801
        """Issues, withdraws and lists the keys of organisations."""

        def give(
            self, organisation: str, *, operators: str | None = None
        ) -> int:
            """Issues a new key and prints it with its id.

            The key cannot be shown again.

            Args:
                organisation: The organisation that the key belongs to.
                operators: Base URL of a host's administration API.
            """
            body = {"organisation": organisation}
            return _with_fleet(
                operators,
                lambda client: client.request("POST", "/admin/keys", body),
            )

        def withdraw(self, id: str, *, operators: str | None = None) -> int:  # noqa: A002
            """Withdraws a key permanently.

            Calls that use the key end within seconds.

            Args:
                id: The key's id, not the key itself.
                operators: Base URL of a host's administration API.
            """
            path = f"/admin/keys/{urls.quote(id, safe='')}"
            return _with_fleet(
                operators, lambda client: client.request("DELETE", path)
            )

        def list(self, *, operators: str | None = None) -> int:
            """Lists the ids of all active keys and their organisations.

            Args:
                operators: Base URL of a host's administration API.
            """
            return _with_fleet(
                operators, lambda client: client.request("GET", "/admin/keys")
            )

    def dump(self, host: str, *, operators: str | None = None) -> int:
        """Prints the state of a host's process as YAML.

        Args:
            host: The host's id, whose state is fetched through --operators;
                or the base URL of its own administration API.
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
        """Runs a fleet with stand-ins on the loopback interface.

        The fleet runs until the process receives SIGTERM.

        Args:
            hosts: Number of hosts; 0 runs only the stand-ins.
            ready_file: JSON file that is written when the fleet is ready.
            deployment: `tornos-norte` or `lakeshore`.
            seed: Random seed of the stand-ins.
            port: Caller port of the first host.
        """
        logs.configure()
        refusal = _check_local(hosts, deployment, port)
        if refusal is not None:
            return _print_error(refusal, arguments.EXIT_USAGE_ERROR)
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

        Exits with 1 if an expected outcome of a trace is not met.

        Args:
            traces: Trace files or names of bundled traces; by default all
                bundled traces.
            compare: Replays all policies instead of one.
            policy: The policy to replay.
            parameters: YAML file with parameters of the simulated workers.
            plot: Image file to write; requires matplotlib.
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
            return _print_error(outcome.failure(), arguments.EXIT_USAGE_ERROR)
        return 0 if outcome.unwrap() else arguments.EXIT_FAILED

    def demo(self) -> int:
        """Replays part of the traces of both deployments and prints a table.

        Exits with 1 if a program is lost or a refusal is wrongful.
        """
        logs.configure(level=40)
        successes: list[bool] = []

        async def work() -> None:
            successes.append(await demo_command.run())

        process.run(work())
        return 0 if successes == [True] else arguments.EXIT_FAILED


def main() -> None:
    """Runs the command given on the command line and exits."""
    raise SystemExit(arguments.run(Commands, sys.argv[1:]))


def _serve(open_service: process.ServiceFactory) -> int:
    try:
        process.run_until_stopped(open_service)
    except OSError as error:
        return _print_error(str(error), arguments.EXIT_FAILED)
    return 0


def _with_fleet(operators: str | None, operation: fleet.FleetOperation) -> int:
    client = fleet.connect(operators)
    if isinstance(client, result.Failure):
        return _print_error(client.failure(), arguments.EXIT_USAGE_ERROR)
    answer = operation(client.unwrap())
    if isinstance(answer, result.Failure):
        return _print_error(answer.failure(), arguments.EXIT_FAILED)
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


def _print_error(text: str, code: int) -> int:
    print(f"mangotally: {text}", file=sys.stderr)
    return code
