"""Commands that talk to a fleet through its administration API."""

from __future__ import annotations

import json
import os
import pathlib
import ssl
from collections.abc import Callable
from typing import Any

import aiohttp
import yaml
from returns import result

from mangotally.commands import process
from mangotally.settings import checks
from mangotally.util import clock

KEY_VARIABLE = "MANGOTALLY_OPERATOR_KEY"
URL_VARIABLE = "MANGOTALLY_OPERATORS"
CA_VARIABLE = "MANGOTALLY_CA_FILE"
TIMEOUT_MS = 15_000
Answer = result.Result[Any, str]


class FleetClient:
    """A client of the administration API of one host of a fleet."""

    def __init__(self, url: str, key: str, ca_file: str | None = None) -> None:
        """Stores how to reach the host.

        Args:
            url: Base URL of a host's administration API.
            key: The operator key.
            ca_file: PEM file of the certificate authorities to trust, or None
                for the default ones.
        """
        self._url = url.rstrip("/")
        self._key = key
        self._ca_file = ca_file

    def request(self, method: str, path: str, body: Any = None) -> Answer:
        """Sends a request; returns the decoded response or an error text."""
        answers: list[Answer] = []

        async def work() -> None:
            answers.append(await self._request(method, path, body))

        process.run(work())
        return answers[0]

    async def _request(self, method: str, path: str, body: Any) -> Answer:
        timeout = aiohttp.ClientTimeout(clock.to_seconds(TIMEOUT_MS))
        try:
            context = ssl.create_default_context(cafile=self._ca_file)
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    self._url + path,
                    json=body,
                    headers={"Authorization": f"Bearer {self._key}"},
                    ssl=context,
                    allow_redirects=False,
                ) as response,
            ):
                return _parse(response.status, await response.text())
        except TimeoutError:
            return result.Failure(
                f"{self._url}: no response before the timeout"
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return result.Failure(f"{self._url}: {_describe(error)}")


FleetOperation = Callable[[FleetClient], Answer]


def connect(operators: str | None) -> result.Result[FleetClient, str]:
    """Returns a client for an URL and the operator key.

    Args:
        operators: Base URL; by default that of the environment.
    """
    url = operators or os.environ.get(URL_VARIABLE)
    key = os.environ.get(KEY_VARIABLE)
    if not url:
        return result.Failure(f"give --operators URL, or set {URL_VARIABLE}")
    if not url.startswith(("http://", "https://")):
        return result.Failure(f"--operators {url}: not an http or https URL")
    if not key:
        return result.Failure(f"set {KEY_VARIABLE} to the operator key")
    return result.Success(FleetClient(url, key, os.environ.get(CA_VARIABLE)))


def publish(
    client: FleetClient, plans: str, uses: str, predecessor: int | None
) -> Answer:
    """Publishes both lists; returns the new version and its predecessor."""
    paths = [pathlib.Path(plans), pathlib.Path(uses)]
    checked, faults = checks.check_files(paths)
    kinds = [item.kind for item in checked]
    if not faults and kinds != [checks.FileKind.PLANS, checks.FileKind.USES]:
        faults = ["--plans must name a file of plans, --uses one of uses"]
    if faults:
        return result.Failure("\n".join(faults))
    if predecessor is None:
        current = client.request("GET", "/admin/lists")
        if isinstance(current, result.Failure):
            return current
        predecessor = int(current.unwrap()["version"])
    body = {
        "predecessor": predecessor,
        "plans": checked[0].model.model_dump(mode="json"),
        "uses": checked[1].model.model_dump(mode="json"),
    }
    return client.request("POST", "/admin/lists", body).map(
        lambda answer: {**answer, "predecessor": predecessor}
    )


def to_yaml(content: Any) -> str:
    """Returns a value as YAML text."""
    return yaml.safe_dump(content, sort_keys=False, allow_unicode=True)


def _parse(status: int, text: str) -> Answer:
    try:
        body = json.loads(text)
    except ValueError:
        return result.Failure(f"status {status}: not an administration API")
    if 200 <= status < 300:
        return result.Success(body)
    if isinstance(body, dict) and "detail" in body:
        ran = body.get("ran")
        return result.Failure(f"{body['detail']} (status {status}, {ran})")
    return result.Failure(f"status {status}")


def _describe(error: Exception) -> str:
    return str(error).splitlines()[0] if str(error) else type(error).__name__
