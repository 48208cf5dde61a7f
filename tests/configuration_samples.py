"""Build sample operators' files and generations for tests."""

import json
from typing import Any

from egretrouter.core.configuration import Collection, ConfigurationIndex, collect
from egretrouter.core.identifiers import Digest, Generation, PublicationId

DIGEST = "a" * 64


def deployment(**changes: Any) -> dict[str, Any]:
    """Return a deployment file with two zones."""
    return {
        "kind": "deployment",
        "name": "ovo-justo",
        "zones": [
            {"name": "serra-z1", "region": "serra"},
            {"name": "taquari-z1", "region": "taquari"},
        ],
        "workspaces": [{"name": "granja"}],
        **changes,
    }


def model(name: str = "llm-cotacoes", **changes: Any) -> dict[str, Any]:
    """Return the file of a model service."""
    return {
        "kind": "model",
        "name": name,
        "placement": [{"zone": "serra-z1", "replicas": 2}, {"zone": "taquari-z1", "replicas": 4}],
        "model": "cotacoes",
        "version": "v1",
        **changes,
    }


def plain(name: str = "razao-vendas", **changes: Any) -> dict[str, Any]:
    """Return the file of a plain service."""
    return {
        "kind": "plain",
        "name": name,
        "placement": [{"zone": "serra-z1", "replicas": 1}],
        "prefixes": [f"/{name}"],
        **changes,
    }


def encode(**files: dict[str, Any]) -> dict[str, bytes]:
    """Encode files as JSON, keyed by file name."""
    return {f"{name}.json": json.dumps(values).encode() for name, values in files.items()}


def sample(number: int = 1) -> Collection:
    """Return a collection whose model version depends on number; its two other parts do not."""
    changing = model(version=f"v{number}")
    return collect(encode(deployment=deployment(), model=changing, plain=plain()))


def sample_generation(number: int) -> tuple[ConfigurationIndex, dict[Digest, bytes]]:
    """Return the index of a generation and the contents of its parts by digest."""
    collection = sample(number)
    index = ConfigurationIndex(
        generation=Generation(number),
        publication_id=PublicationId(f"publication-{number}"),
        parts=collection.parts,
    )
    return index, collection.contents
