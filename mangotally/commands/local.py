"""A local fleet of hosts and stand-ins in one process."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any, Self

import yaml

from mangotally import application, ids
from mangotally.standins import deployments, platform

if TYPE_CHECKING:
    import pathlib

    from mangotally.settings import host as host_settings
    from mangotally.settings import tls

MAX_HOSTS = 64


class LocalFleet:
    """A platform of stand-ins and a number of hosts, on the loopback interface.

    Entering the context manager starts both.
    """

    def __init__(
        self,
        deployment: str,
        hosts: int,
        ready_file: pathlib.Path | None = None,
        port: int | None = None,
        seed: int = 0,
    ) -> None:
        """Prepares a fleet.

        Args:
            deployment: Name of the deployment.
            hosts: Number of hosts; 0 starts only the stand-ins.
            ready_file: JSON file to which the addresses and keys of the fleet
                are written.
            port: Caller port of the first host, or None for any free port.
            seed: Random seed of the stand-ins.
        """
        self.platform = platform.Platform(
            deployments.DEPLOYMENTS[deployment](), seed=seed
        )
        self._host_count = hosts
        self._ready_file = ready_file
        self._port = port
        self.hosts: list[application.Application] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts the fleet and writes the ready file."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.platform)
            for number in range(1, self._host_count + 1):
                host = application.Application(self._settings(number))
                self.hosts.append(host)
                await stack.enter_async_context(host)
            if self._ready_file is not None:
                self._write_ready_file(self._ready_file)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the fleet."""
        await self._stack.aclose()

    def entry_urls(self) -> list[str]:
        """Returns the base URLs of the hosts for callers."""
        return [
            f"{_scheme(host.settings.tls.callers)}://"
            f"{host.settings.address}:{host.settings.port}"
            for host in self.hosts
        ]

    def _settings(self, number: int) -> host_settings.HostSettings:
        settings = self.platform.host_settings(number)
        if number == 1 and self._port is not None:
            return settings.model_copy(update={"port": self._port})
        return settings

    def _write_ready_file(self, path: pathlib.Path) -> None:
        body = self._describe()
        if not self.hosts:
            settings_path = path.with_suffix(".settings.yaml")
            settings_path.write_text(self._settings_yaml())
            body["settings"] = str(settings_path)
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(body, indent=2))
        partial.replace(path)

    def _describe(self) -> dict[str, Any]:
        operators = [
            f"{_scheme(host.settings.tls.operators)}://"
            f"{host.settings.address}:{host.settings.effective_operator_port}"
            for host in self.hosts
        ]
        return {
            "entries": self.entry_urls(),
            "organisations": {
                item.id: self._describe_organisation(
                    ids.OrganisationId(item.id), item.plan
                )
                for item in self.platform.deployment.plans.organisations
            },
            "operators": operators[0] if operators else None,
            "operator_key": self.platform.operator_key,
        }

    def _describe_organisation(
        self, organisation: ids.OrganisationId, plan_name: str
    ) -> dict[str, Any]:
        key_id, key = self.platform.keys[organisation]
        plans = self.platform.deployment.uses.plans
        plan = next(item for item in plans if item.name == plan_name)
        return {
            "key": key,
            "key_id": key_id,
            "plan": plan_name,
            "rate_per_s": plan.rate_per_s,
            "burst": plan.burst,
        }

    def _settings_yaml(self) -> str:
        settings = self.platform.host_settings(1)
        content = settings.model_dump(
            mode="json",
            exclude={"host_id", "port", "rpc_port", "operator_port"},
        )
        return yaml.safe_dump(content, sort_keys=False)


def _scheme(certificate: tls.Certificate | None) -> str:
    return "http" if certificate is None else "https"
