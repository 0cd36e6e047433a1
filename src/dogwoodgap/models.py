"""Validated models of the HTTP interface and of the fleet configuration."""

import typing
import zoneinfo

import pydantic

from dogwoodgap import validation

Seconds = typing.Annotated[float, pydantic.Field(ge=0, le=31 * 86_400)]


class Message(validation.StrictModel):
    """One message of a conversation."""

    role: typing.Literal["system", "user", "assistant", "tool"]
    content: str


class ProgramRequest(validation.StrictModel):
    """Body of ``POST /v1/programs``."""

    id: validation.Name | None = None
    service: validation.Name
    profile: validation.Name | None = None
    budget_tokens: int | None = pydantic.Field(default=None, ge=1)
    deadline_seconds: Seconds | None = None
    parent: validation.Name | None = None


class CallRequest(validation.StrictModel):
    """Body of ``POST /v1/programs/{id}/calls``; ``messages`` extend the history."""

    seq: int = pydantic.Field(ge=1)
    messages: list[Message] = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(default=256, ge=1, le=131_072)
    stream: bool = False
    deadline_seconds: Seconds | None = None
    next_tool: validation.Name | None = None


class ActionRequest(validation.StrictModel):
    """Body of a request for an action on a plain service."""

    seq: int | None = pydantic.Field(default=None, ge=1)
    payload: typing.Any = None
    idempotent: bool = False
    urgent: bool = False
    deadline_seconds: Seconds = 30.0


class StreamOptions(pydantic.BaseModel):
    """Stream options of ``POST /v1/chat/completions``."""

    include_usage: bool = False


class ChatRequest(pydantic.BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: str
    messages: list[dict[str, typing.Any]] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=131_072)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1, le=131_072)
    stream: bool = False
    stream_options: StreamOptions | None = None


class Profile(validation.StrictModel):
    """Weights and limits for programs that use this profile."""

    latency_weight: float = pydantic.Field(default=1.0, ge=0, le=100)
    cache_weight: float = pydantic.Field(default=1.0, ge=0, le=100)
    share_weight: float = pydantic.Field(default=1.0, gt=0, le=100)
    urgency: int = pydantic.Field(default=0, ge=0, le=9)
    budget_tokens: int = pydantic.Field(default=500_000, ge=1)
    max_turns: int = pydantic.Field(default=200, ge=1)
    max_wall_seconds: Seconds = 86_400.0
    idle_seconds: Seconds = 900.0
    max_repeats: int = pydantic.Field(default=20, ge=1)
    max_children: int = pydantic.Field(default=64, ge=0)
    call_deadline_seconds: Seconds = 120.0


class ProfileHours(validation.StrictModel):
    """A window of local hours in which a service uses a profile; it may span midnight."""

    profile: validation.Name
    start_hour: float = pydantic.Field(ge=0, lt=24)
    end_hour: float = pydantic.Field(ge=0, lt=24)
    days: list[int] = pydantic.Field(default_factory=lambda: list(range(7)))


class Runner(validation.StrictModel):
    """One backend server of a service."""

    id: validation.Name
    address: str = pydantic.Field(pattern=r"^https?://")
    data_centre: validation.Name
    checks_fencing: bool = False
    slots: int = pydantic.Field(default=16, ge=1)
    cache_tokens: int = pydantic.Field(default=200_000, ge=0)


class Service(validation.StrictModel):
    """A model service or plain service and its runners."""

    kind: typing.Literal["model", "plain"]
    runners: list[Runner] = pydantic.Field(default_factory=list)
    profile: validation.Name = "default"
    hours: list[ProfileHours] = pydantic.Field(default_factory=list)
    time_zone: str = "UTC"
    answers_outcomes: bool = False
    prefill_tokens_per_s: float = pydantic.Field(default=8_000.0, gt=0)
    decode_tokens_per_s: float = pydantic.Field(default=50.0, gt=0)
    ordering: validation.Name = "program"
    placement: validation.Name = "estimated-finish"
    retention: validation.Name = "cost"
    admission: validation.Name = "deadline"
    model: str = ""
    version: str = ""
    adapters: list[str] = pydantic.Field(default_factory=list)
    role: str = ""

    @pydantic.field_validator("time_zone")
    @classmethod
    def check_time_zone(cls, value: str) -> str:
        """Reject names that are not in the time zone database."""
        try:
            zoneinfo.ZoneInfo(value)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError) as error:
            raise ValueError(
                f"unknown time zone {value!r}; use a name like Europe/Prague"
            ) from error
        return value


class Customer(validation.StrictModel):
    """Limits and weight of a customer; 0 means no limit."""

    weight: float = pydantic.Field(default=1.0, gt=0)
    rate_per_s: float = pydantic.Field(default=0.0, ge=0)
    concurrency: int = pydantic.Field(default=0, ge=0)


class Key(validation.StrictModel):
    """An API key: the SHA-256 of the bearer token and what it allows."""

    digest: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    customer: validation.Name | None = None
    role: typing.Literal["caller", "viewer", "operator", "administrator"] = "caller"
    services: list[validation.Name] = pydantic.Field(default_factory=list)
    customers: list[validation.Name] = pydantic.Field(default_factory=list)
    not_after: float = 0.0


class FleetConfiguration(validation.StrictModel):
    """Configuration of the whole fleet, one document with a generation number."""

    generation: int = pydantic.Field(default=0, ge=0)
    profiles: dict[validation.Name, Profile] = pydantic.Field(
        default_factory=lambda: {"default": Profile()}
    )
    services: dict[validation.Name, Service] = pydantic.Field(default_factory=dict)
    customers: dict[validation.Name, Customer] = pydantic.Field(default_factory=dict)
    keys: dict[validation.Name, Key] = pydantic.Field(default_factory=dict)

    @pydantic.model_validator(mode="after")
    def check_references(self) -> "FleetConfiguration":
        """Reject references to unknown profiles and customers, and duplicate runner ids."""
        for name, service in self.services.items():
            for profile in [service.profile, *(window.profile for window in service.hours)]:
                if profile not in self.profiles:
                    raise ValueError(
                        f"services.{name} refers to unknown profile {profile!r}; add it to profiles"
                    )
            ids = [runner.id for runner in service.runners]
            if len(set(ids)) != len(ids):
                raise ValueError(f"services.{name}.runners has duplicate ids; make them unique")
        for name, key in self.keys.items():
            if key.customer is not None and key.customer not in self.customers:
                raise ValueError(
                    f"keys.{name} refers to unknown customer {key.customer!r}; add it to customers"
                )
        return self
