"""An engine adapter that reaches the engine models of an experiment without a network."""

import collections.abc

import anyio

from dogwoodgap import adapters, structures
from dogwoodgap_lab import engine_model

EXPORT_TOKENS_PER_S = 60_000.0


def prompt(shared: str, shared_tokens: int, own_tokens: int) -> list[structures.Text]:
    """Describe a prompt by its lengths, since the model needs no text."""
    return [
        structures.Text("system", f"{shared} {shared_tokens}"),
        structures.Text("user", str(own_tokens)),
    ]


class DirectEngineAdapter:
    """Implements :class:`adapters.EngineAdapter` on engine models.

    Parameters
    ----------
    runners : mapping
        Engine models by runner id.
    delay_s : float
        One-way delay between a node and a runner.
    """

    def __init__(self, runners: dict[str, engine_model.RunnerModel], delay_s: float = 0.0005):
        self.runners = runners
        self.delay_s = delay_s
        self.imports: dict[str, int] = {}

    async def generate(
        self, runner: structures.RunnerView, request: adapters.GenerationRequest
    ) -> collections.abc.AsyncIterator[adapters.Chunk]:
        """Run a request and yield one chunk with the usage."""
        shared, shared_tokens = request.messages[0].content.split()
        work = engine_model.EngineWork(
            session=request.session,
            prompt_tokens=int(request.messages[1].content),
            output_tokens=request.max_tokens,
            priority=request.priority,
            shared=shared,
            shared_tokens=int(shared_tokens),
            import_tokens=self.imports.pop(request.session, 0),
        )
        self.runners[runner.id].submit(work)
        await work.done.wait()
        yield adapters.Chunk(
            index=0,
            text="",
            finish_reason="stop",
            prompt_tokens=work.prompt_tokens + work.shared_tokens,
            cached_tokens=work.cached_tokens,
            output_tokens=work.output_tokens,
        )

    async def cancel(self, runner: structures.RunnerView, request_id: str) -> None:
        """Ignore; experiments cancel no request that runs."""

    async def release(self, runner: structures.RunnerView, session: str) -> None:
        """Free the cache of a session."""
        await anyio.sleep(self.delay_s)
        self.runners[runner.id].release(session)

    async def export(self, runner: structures.RunnerView, session: str, tokens: int) -> None:
        """Copy the cache of a session out of the engine, then free it."""
        await anyio.sleep(self.delay_s + tokens / EXPORT_TOKENS_PER_S)
        self.runners[runner.id].release(session)

    def import_next(self, session: str, tokens: int) -> None:
        """Let the next request of a session import exported tokens."""
        self.imports[session] = tokens

    async def load(self, runner: structures.RunnerView) -> adapters.LoadReport:
        """Return the runner's load; ``cached_tokens`` counts all memory in use."""
        model = self.runners[runner.id]
        return adapters.LoadReport(
            queued=len(model.waiting), running=len(model.progress), cached_tokens=model.used_tokens
        )
