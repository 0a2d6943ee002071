"""Writes the settings files of the demo and publishes its instance list."""

import json
import pathlib
import sys
import urllib.request

from acacialatch import configuration

SETTINGS_TEMPLATE = """name = "entry-{number}"
zone = "{zone}"
caller_address = "127.0.0.1:{caller_port}"
peer_address = "127.0.0.1:{peer_port}"
configuration_service = "http://127.0.0.1:{platform_port}/config"
instance_list = "http://127.0.0.1:{platform_port}/instances"
peers = [{peers}]
record_rate_per_s = {record_rate}
log_path = "{log_path}"
"""

CALLER_PORT = 7800
PEER_PORT = 7900
PLATFORM_PORT = 7600
RECORD_RATE = 20


def write_settings(directory: pathlib.Path, text: pathlib.Path, count: int) -> None:
    """Write `entry-N.toml` for `count` entry instances into `directory`."""
    zones = configuration.parse(text.read_bytes()).unwrap().zones
    for number in range(1, count + 1):
        others = [other for other in range(1, count + 1) if other != number]
        peers = ", ".join(f'"127.0.0.1:{PEER_PORT + other}"' for other in others)
        content = SETTINGS_TEMPLATE.format(
            number=number,
            zone=zones[number % len(zones)],
            caller_port=CALLER_PORT + number,
            peer_port=PEER_PORT + number,
            platform_port=PLATFORM_PORT,
            peers=peers,
            record_rate=RECORD_RATE,
            log_path=directory / f"entry-{number}.log",
        )
        (directory / f"entry-{number}.toml").write_text(content)


def publish_instances(text: pathlib.Path, count: int) -> None:
    """Publish the list of `count` entry instances at the platform stand-in."""
    zones = configuration.parse(text.read_bytes()).unwrap().zones
    instances = [
        {
            "name": f"entry-{number}",
            "role": "entry",
            "zone": zones[number % len(zones)],
            "address": f"127.0.0.1:{CALLER_PORT + number}",
            "peer_address": f"127.0.0.1:{PEER_PORT + number}",
            "state": "live",
        }
        for number in range(1, count + 1)
    ]
    put("/instances", json.dumps(instances).encode())


def put(path: str, body: bytes) -> None:
    """Send a PUT request to the platform stand-in.

    Raises
    ------
    OSError
        If the stand-in does not answer within 5 s, or answers with an error status.
    """
    url = f"http://127.0.0.1:{PLATFORM_PORT}{path}"
    request = urllib.request.Request(url, body, method="PUT")
    with urllib.request.urlopen(request, timeout=5) as response:
        response.read()


if __name__ == "__main__":
    write_settings(
        pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]), int(sys.argv[3])
    )
