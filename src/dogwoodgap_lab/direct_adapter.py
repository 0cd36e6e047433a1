"""An engine adapter that calls the simulated engines of an experiment in process."""

import collections.abc

import anyio

from dogwoodgap import adapters, structures
from dogwoodgap_lab import engine_model

EXPORT_TOKENS_PER_S = 60_000.0


def encode_prompt(shared_prefix: str, shared_tokens: int, own_tokens: int) -> list[structures.Text]:
    """Return messages that encode the lengths of a prompt, which is all simulated engines need."""
    return [
        structures.Text("system", f"{shared_prefix} {shared_tokens}"),
        structures.Text("user", str(own_tokens)),
    ]


class DirectEngineAdapter:
    """Implements :class:`adapters.EngineAdapter` for simulated runners.

    Parameters
    ----------
    runners : mapping
        Simulated runners by id.
    delay_s : float
        One-way delay between a node and a runner.
    """

    def __init__(self, runners: dict[str, engine_model.SimulatedRunner], delay_s: float = 0.0005):
        self.runners = runners
        self.delay_s = delay_s
        self.pending_imports: dict[str, int] = {}

    async def generate(
        self, runner: structures.RunnerView, request: adapters.GenerationRequest
    ) -> collections.abc.AsyncIterator[adapters.Chunk]:
        """Run a request and yield one chunk with the token counts."""
        shared_prefix, shared_tokens = request.messages[0].content.split()
        simulated = engine_model.SimulatedRequest(
            session=request.session,
            prompt_tokens=int(request.messages[1].content),
            output_tokens=request.max_tokens,
            priority=request.priority,
            shared_prefix=shared_prefix,
            shared_tokens=int(shared_tokens),
            import_tokens=self.pending_imports.pop(request.session, 0),
        )
        self.runners[runner.id].submit(simulated)
        await simulated.done.wait()
        yield adapters.Chunk(
            index=0,
            text="",
            finish_reason="stop",
            prompt_tokens=simulated.prompt_tokens + simulated.shared_tokens,
            cached_tokens=simulated.cached_tokens,
            output_tokens=simulated.output_tokens,
        )

    async def cancel(self, runner: structures.RunnerView, request_id: str) -> None:
        """Do nothing, since experiments cancel no running request."""

    async def release(self, runner: structures.RunnerView, session: str) -> None:
        """Free the cache of a session."""
        await anyio.sleep(self.delay_s)
        self.runners[runner.id].release(session)

    async def export(self, runner: structures.RunnerView, session: str, tokens: int) -> None:
        """Take the time to export the cache of a session, then free it."""
        await anyio.sleep(self.delay_s + tokens / EXPORT_TOKENS_PER_S)
        self.runners[runner.id].release(session)

    def set_pending_import(self, session: str, tokens: int) -> None:
        """Set the number of tokens that the next request of a session imports."""
        self.pending_imports[session] = tokens

    async def load(self, runner: structures.RunnerView) -> adapters.LoadReport:
        """Return the runner's load; ``cached_tokens`` counts all memory in use."""
        model = self.runners[runner.id]
        return adapters.LoadReport(
            queued=len(model.waiting), running=len(model.running), cached_tokens=model.used_tokens
        )
