"""Provide in-process stand-ins for endpoints and the platform's systems."""

from egretrouter.standins._base import Outage, Standin, TokenBucket
from egretrouter.standins._engine import EngineStandin
from egretrouter.standins._engine_model import expected_answer, expected_tokens, prompt_text
from egretrouter.standins._instance_list import InstanceListStandin
from egretrouter.standins._object_api import ObjectApiStandin
from egretrouter.standins._origin import OriginStandin, WeightStoreStandin
from egretrouter.standins._plain_service import PlainServiceStandin

__all__ = [
    "EngineStandin",
    "InstanceListStandin",
    "ObjectApiStandin",
    "OriginStandin",
    "Outage",
    "PlainServiceStandin",
    "Standin",
    "TokenBucket",
    "WeightStoreStandin",
    "expected_answer",
    "expected_tokens",
    "prompt_text",
]
